Feature: Decisions on forwarded requests and batch jobs

  Scenario Outline: the route of <host> <path>
    Given routes of reports.example with the prefixes / and /reply/ and /reply/urgent/
    Then the path <path> at <host> matches route <route>

    Examples:
      | host                 | path            | route          |
      | reports.example      | /reply/urgent/7 | /reply/urgent/ |
      | reports.example      | /reply/7        | /reply/        |
      | reports.example:8161 | /reply/7        | /reply/        |
      | REPORTS.example      | /replying       | /              |
      | other.example        | /reply/7        | nothing        |

  Scenario: an older configuration never replaces a newer one
    Given a configuration of version 7 is in force
    When versions 6, 9, 8 and 9 are offered
    Then the versions in force were 7, 9, 9 and 9

  Scenario: requests are split over services by weight
    Given a route that splits 90 to 10 between two services
    Then of 2000 requests 4 to 16 in 100 go to the smaller share
    And a request that is retried goes to the same service

  Scenario Outline: events are parsed from a stream in pieces of <size> bytes
    Then a stream in pieces of <size> bytes yields complete events

    Examples:
      | size |
      | 1    |
      | 7    |
      | 4096 |

  Scenario: servers that expired during an outage get work until they are back
    Given a list of servers s1 and s2 before an outage
    When the first list after the outage holds s1 only
    Then s1 and s2 may get work 1.9 seconds later
    And s1 may get work 2.1 seconds later

  Scenario: a server that is removed without an outage gets no more work
    Given a list of servers s1 and s2 before an outage
    When a list without an outage holds s1 only
    Then s1 may get work 0 seconds later

  Scenario: requests of several hosts spread evenly over servers
    When 4 hosts that exchange their counts place 48 requests on 6 servers
    Then no server has more than 9 requests

  Scenario: a loaded server sends requests to another availability zone
    Given a server s1 in the own zone with 8 requests and s2 elsewhere with none
    Then an online request is placed at s2

  Scenario: the own availability zone is preferred
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    Then an online request is placed at s1

  Scenario: batch items leave a slot free for new online requests
    Given a server s1 in the own zone with 3 requests and s2 elsewhere with none
    When batch items start until no slot is left
    Then s1 has 4 of them and s2 has 7

  Scenario: a burst of online requests preempts batch items
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When batch items start until no slot is left
    And another host reports 5 online requests at s1
    Then the host has to preempt 4 items at s1 and none at s2

  Scenario: hosts with many items fill the servers without exceeding the slots
    When 20 hosts with 10 items each start what they may on 5 servers
    Then each server has 7 of them
    And no host has to preempt an item

  Scenario: preemptions are divided exactly over the hosts
    When 20 hosts with 10 items each start what they may on 5 servers
    And 5 online requests come to each server
    Then all hosts together have to preempt 4 items at each server

  Scenario: a server that refused an item gets no batch item for a short time
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When s1 refuses an item
    Then an item goes to s2 at once and to either a second later

  Scenario: a new job goes to the host with the fewest open jobs
    Given open jobs of which h1 has 2, h2 has 1 and h3 has none
    Then the owner of a new job is h3

  Scenario: only jobs of hosts that stay absent are taken over, each by one host
    Given open jobs of which h1 has 20, h2 has 0 and h3 has none
    When h1 is absent for 1 second
    Then no job is taken over
    When h1 is absent for 2 seconds
    Then h2 and h3 take over each job once

  Scenario: a job that exceeds the limit of waiting tokens is refused
    Given open jobs of which h1 has 2, h2 has 0 and h3 has none
    Then a job of 300 tokens fits a limit of 900 and not one of 899
    And any job fits where there is no limit

  Scenario Outline: an item whose server answers <answers>
    Given a forwarded job of one item with 3 attempts
    When runs of the item end as <answers>
    Then the item is <state>

    Examples:
      | answers                                | state    |
      | failed, failed                         | waiting  |
      | failed, failed, failed                 | given up |
      | broken, broken, broken, broken, broken | waiting  |
      | failed, broken, preempted, failed      | waiting  |
      | rejected                               | given up |
      | failed, completed                      | done     |

  Scenario Outline: an item of a job that is <seconds> seconds old
    Given a forwarded job of one item with 3 attempts
    When the job is <seconds> seconds old and is abandoned after 20
    Then the item is <state>

    Examples:
      | seconds | state    |
      | 19      | waiting  |
      | 24      | waiting  |
      | 26      | given up |

  Scenario: items of a removed route are given up after a grace period
    Given a forwarded job of one item with 3 attempts
    When the job's route has been missing for 2 seconds
    Then the item is waiting
    When the job's route has been missing for 4 seconds
    Then the item is given up

  Scenario: a server with a free slot goes before a less loaded one without
    Given a server s1 in the own zone with 4 requests and s2 elsewhere with none
    When s2 is full of 8 batch items
    Then an online request is placed at s1

  Scenario: batch items leave room for the last peak of online requests
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When 12 of the 16 slots were used by online requests a moment ago
    And batch items start until no slot is left
    Then s1 has 2 of them and s2 has 2

  Scenario Outline: batch items use the room for peaks when <why>
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When 12 of the 16 slots were used by online requests <when>
    And <why>
    And batch items start until no slot is left
    Then s1 has 7 of them and s2 has 7

    Examples:
      | why                            | when             |
      | a job is due soon              | a moment ago     |
      | more items wait than can run   | a moment ago     |
      | nothing else happens           | 20 seconds ago   |

  Scenario Outline: reports of a failing server by <reporters>
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When <reporters> report that s1 fails
    Then an online request is placed at <server>

    Examples:
      | reporters                          | server |
      | one host of the own zone           | s1     |
      | two hosts of the own zone          | s2     |
      | two hosts of another zone          | s1     |
      | hosts of two zones                 | s2     |

  Scenario: a failing server is used again once it answers any host
    Given a server s1 in the own zone with 0 requests and s2 elsewhere with none
    When two hosts of the own zone report that s1 fails
    And a host reports that s1 answers
    Then an online request is placed at s1

  Scenario: hosts return to a failing server one after the other
    When 100 hosts learn that a server fails
    Then they use it again over at least 5 seconds
    And no more than 25 of them within a second

  Scenario: a large fleet runs batch items on few hosts
    Given 160 live hosts
    Then the jobs of all hosts go to the same 20 hosts

  Scenario Outline: a request without a first event for <seconds> seconds <does>
    Given first events usually take <usual> seconds
    Then a repeatable request with an objective of 0.3 seconds <does> after <seconds> seconds

    Examples:
      | usual | seconds | does     |
      | 0.03  | 0.16    | moves on |
      | 0.2   | 0.5     | stays    |
      | 0.2   | 0.61    | moves on |

  Scenario Outline: items that are already being cancelled count as preempted
    Given 5 runs of items at a server, of which <ending> end
    Then <more> more are cancelled so that 3 slots become free

    Examples:
      | ending | more |
      | 0      | 3    |
      | 2      | 1    |
      | 4      | 0    |

  Scenario: a host with items at a full server is told at once of a request
    Given a host with a server that another host has filled with items
    When it sends an online request there
    Then the other host is to be told at once

  Scenario: a host that is told of a request preempts an item at once
    Given a host whose own items fill a server
    When another host reports 3 online requests there
    Then it looks at once which of its items to preempt

  # Guards against callers sent away for minutes by a host that has just started.
  Scenario: a host that has just started sends refused callers away no longer than others do
    Given a host that has just started, with a request that runs for 0.5 seconds
    When another host reports 100 online requests there
    Then a refused caller may return as soon as at a host where requests take 0.5 seconds

  Scenario: a host is not woken again by requests where it has no items
    Given a host whose own items fill a server
    When another host reports 3 online requests there
    And another host reports 3 online requests at another server
    Then it has looked once which of its items to preempt

  Scenario: a failing server and its recovery are told to all hosts
    Given a host with a server that another host has filled with items
    When a request fails because the server is not reached
    Then all hosts are told that the server fails
    When a later request is answered
    Then all hosts are told that the server answers

  Scenario: counts that hosts announce add up until they expire
    Given random counts that 20 hosts announce for a server
    Then each sum is that of the counts of the last 1.2 seconds
    And each count by host is the last one of this host
    And an earlier sum is known as long as it is remembered

  Scenario: load notices in a large fleet reach each host that runs items
    Given a host of a fleet of 90 hosts
    When it starts a request and sends its counts
    Then all hosts that run batch items are among the receivers
    When 20 hosts leave and it starts a request and sends its counts
    Then all hosts that run batch items are among the receivers
    And no host that left is among them
