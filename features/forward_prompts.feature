Feature: Which parts of prompts are quarantined, and what hosts tell each other

  Scenario: a part under which servers end is blamed, not the part that all requests share
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    Then all hosts refuse a prompt of "shared,bad"
    And no host refuses a prompt of "shared"
    And no host refuses a prompt of "shared,other"

  Scenario: hosts that have just started blame the deeper part too
    Given 20 hosts that have served nothing yet
    When 3 servers end under a prompt of "shared,bad"
    Then all hosts refuse a prompt of "shared,bad"
    And no host refuses a prompt of "shared"

  Scenario: a first part that crashes servers is blamed when the deeper ones differ
    Given 20 hosts that have served nothing yet
    When 3 servers end under prompts of "bad" and a deeper part that differs
    Then all hosts refuse a prompt of "bad"

  Scenario: servers that end by chance quarantine nothing that is served elsewhere
    Given 20 hosts where requests with the part "shared" have completed
    When 9 servers end under a prompt of "shared"
    Then no host refuses a prompt of "shared"
    And there are 0 reports on the platform

  Scenario: a rare part beside the one that crashes servers is not blamed
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under prompts of "shared,bad" and "shared,rare"
    And 1 server ends under a prompt of "shared,bad"
    Then all hosts refuse a prompt of "shared,bad"
    And no host refuses a prompt of "shared,rare"

  Scenario: a host that loses all its connections suspects no prompt
    Given 20 hosts that have served nothing yet
    When a host loses its connections to 5 servers at once under a prompt of "shared"
    Then no host refuses a prompt of "shared"
    And there are 0 reports on the platform

  Scenario Outline: a run that has got events for <seconds> seconds when servers end <proves> its prompt
    Given 20 hosts that have served nothing yet
    When a run with "shared" gets events for <seconds> seconds
    And 3 servers end under a prompt of "shared" at the first host
    And 2 seconds pass with an exchange each 0.1 seconds
    Then <refusing> refuse a prompt of "shared"

    Examples:
      | seconds | proves         | refusing  |
      | 1.5     | proves         | 0 hosts   |
      | 0.5     | does not prove | 20 hosts  |

  Scenario: an old word that a part has completed does not undo a newer one
    Given 20 hosts where requests with the part "shared" have completed
    When 20 seconds pass
    And all hosts learn that "shared" completed 25 seconds ago
    And 3 servers end under a prompt of "shared"
    Then no host refuses a prompt of "shared"

  Scenario: an old word that a part has completed does not release it
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And all hosts learn that "bad" completed 60 seconds ago
    Then all hosts refuse a prompt of "shared,bad"

  Scenario: a host that starts anew knows the quarantined parts
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And all hosts start anew
    Then all hosts refuse a prompt of "shared,bad"
    And no host refuses a prompt of "shared"

  Scenario: hosts that trust a part tell those that do not
    Given 20 hosts where requests with the part "shared" have completed
    When the first host starts anew
    And 3 servers end under a prompt of "shared" at the first host
    And 2 seconds pass with an exchange each 0.1 seconds
    Then no host refuses a prompt of "shared"
    And there are at most 8 reports on the platform

  Scenario: a request that crashes servers is blamed while its session is served
    Given 20 hosts where requests with the part "shared,session" have completed
    When 2 servers end under a prompt of "shared,session,request/1"
    And requests with "shared,session,request/2" complete at all hosts
    And 1 server ends under a prompt of "shared,session,request/1"
    And requests with "shared,session,request/2" complete at all hosts
    Then all hosts refuse a prompt of "shared,session,request/1"
    And no host refuses a prompt of "shared,session,request/3"

  Scenario: hosts that have just started blame a request, not the session that it is in
    Given 20 hosts that have served nothing yet
    When 4 servers end under a prompt of "shared,session,request/1"
    Then all hosts refuse a prompt of "shared,session,request/1"
    And no host refuses a prompt of "shared,session,request/2"

  Scenario: a part is blamed when requests with it crash servers beside a blamed one
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad,request/1"
    And 1 server ends under a prompt of "shared,bad,request/2"
    Then all hosts refuse a prompt of "shared,bad,request/3"
    And no host refuses a prompt of "shared,request/4"

  Scenario: requests at the same servers as the one that crashes them are not blamed
    Given 20 hosts where requests with the part "shared" have completed
    When 2 servers end under prompts of "shared,request/1" and "shared,request/2"
    And 1 server ends under a prompt of "shared,request/1"
    Then all hosts refuse a prompt of "shared,request/1"
    And no host refuses a prompt of "shared,request/2"

  Scenario: a host does not send a request on while it waits to see what else ended
    Given 20 hosts where requests with the part "shared" have completed
    When 2 servers end under a prompt of "shared,request/1"
    And a server ends under "shared,request/1" at the first host this moment
    Then the first host refuses a prompt of "shared,request/1"

  Scenario: servers that end by chance under requests that complete then cost few reports
    Given 20 hosts where requests with the part "shared" have completed
    When 1 server ends under prompts of "shared,request/1" and "shared,request/2"
    And requests with "shared,request/1" complete at all hosts
    And requests with "shared,request/2" complete at all hosts
    Then there are at most 2 reports on the platform

  Scenario: a whole request is tried again only after a long while
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,request/1"
    And 590 seconds pass
    Then all hosts refuse a prompt of "shared,request/1"
    When 12 seconds pass
    Then all hosts but one refuse a prompt of "shared,request/1"

  Scenario: one request of the whole fleet tries a quarantined part after a while
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 4 seconds pass
    Then all hosts refuse a prompt of "shared,bad"
    When 2 seconds pass
    Then all hosts but one refuse a prompt of "shared,bad"
    And all hosts refuse a prompt of "shared,bad"

  Scenario: a quarantined part is tried by whichever host has a request with it
    Given 24 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    Then each host would try "shared,bad" if it alone had a request with it

  Scenario: no host tries a quarantined part while the platform is away
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And the platform stops taking writes
    And 8 seconds pass
    Then all hosts refuse a prompt of "shared,bad"
    When the platform takes writes again
    And 1 seconds pass
    Then all hosts but one refuse a prompt of "shared,bad"

  Scenario: another host tries a part when a claim to try it has not been used
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And "host-3" claims a trial of "shared,bad" and starts anew
    And 4 seconds pass
    Then all hosts refuse a prompt of "shared,bad"
    When 2 seconds pass
    Then all hosts but one refuse a prompt of "shared,bad"

  Scenario: a host whose claim came second leaves the first one time to begin
    Given 3 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And "host-1" learns of a claim of "host-0" for "shared,bad" while it writes its own
    And 4 seconds pass
    Then "host-1" does not try "shared,bad"
    When 2 seconds pass
    Then "host-1" tries "shared,bad"

  Scenario Outline: a host tries a part although <event>
    Given 4 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And a host claims a trial of "shared,bad" and <event>
    Then that host alone tries "shared,bad" within 8 seconds

    Examples:
      | event                                             |
      | its claim is removed, of which no watch tells     |
      | it removes old reports after it claimed another   |
      | the answer comes after the claim of another host  |

  Scenario: hosts that all have a part claim its next trial one after another too
    Given 100 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And all hosts ask for "shared,bad" for 20 seconds
    Then there are 2 to 4 trials and at most 20 claims are written

  Scenario: items that wait for a claim while the platform is away keep no processor busy
    Given 390 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And the platform stops taking writes
    And 8 seconds pass
    Then a look at 2000 items with "shared,bad" takes a host under 200 ms of processor time

  Scenario: a rare part stays trusted for its time whatever else completes
    Given 3 hosts where requests with the part "rare" have completed
    When 8192 items with other parts complete at all hosts
    And 3 servers end under a prompt of "rare"
    Then no host refuses a prompt of "rare"

  Scenario: a part is not tried again while its trial is still unanswered
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And "host-3" sends a request with "shared,bad" that is not answered yet
    And 7 seconds pass in which the claimers of all hosts run
    Then all hosts refuse a prompt of "shared,bad"
    When 60 seconds pass in which the claimers of all hosts run
    Then all hosts refuse a prompt of "shared,bad"

  # Guards against a claim that keeps a part from being tried for good.
  Scenario Outline: a claim lapses 5 seconds after <event>
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And "host-3" sends a request with "shared,bad" that is not answered yet
    And 7 seconds pass in which the claimers of all hosts run
    And <event>
    And 3 seconds pass in which the claimers of all hosts run
    Then all hosts refuse a prompt of "shared,bad"
    When 3 seconds pass in which the claimers of all hosts run
    Then all hosts but one refuse a prompt of "shared,bad"

    Examples:
      | event                                 |
      | its run ends without an answer        |
      | its run is ended by an unexpected error |
      | its host starts anew                  |
      | its host alone loses the platform     |

  # Guards against a second trial at one host, and a claim taken from another.
  Scenario: a host whose claim has lapsed in its run leaves the next one alone
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And "host-3" sends a request with "shared,bad" that is not answered yet
    And its host alone loses the platform
    And 6 seconds pass in which the claimers of all hosts run
    Then the host of the first request does not try "shared,bad"
    And "host-0" tries "shared,bad"
    When its host reaches the platform again
    And 3 seconds pass in which the claimers of all hosts run
    And 3 seconds pass
    Then "host-0" tries "shared,bad"

  Scenario: callers of a part do not each wait for a platform that is slow
    Given 3 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    Then 8 callers of "shared,bad" wait 0.1 seconds in all for a slow platform
    And the next one may try it once the claim is written

  Scenario: a request with two quarantined parts waits until both may be tried
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad,request/1"
    And 1 server ends under a prompt of "shared,bad,request/2"
    And 30 seconds pass
    Then all hosts refuse a prompt of "shared,bad,request/1"
    And all hosts but one refuse a prompt of "shared,bad,request/2"

  Scenario: hosts of the last version read a claim as an empty report
    Given the claim of a host to try a part
    Then a host of the last version reads nothing from it

  Scenario: a part whose trial completes is released at all hosts
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 6 seconds pass
    And a request with "shared,bad" completes at the host that tries it
    Then no host refuses a prompt of "shared,bad"

  Scenario: the time between trials doubles
    Given 20 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 6 seconds pass
    And 1 server ends under a prompt of "shared,bad"
    And 9 seconds pass
    Then all hosts refuse a prompt of "shared,bad"
    When 3 seconds pass
    Then all hosts but one refuse a prompt of "shared,bad"

  Scenario: the reports of a large fleet are few, whatever happens to its servers
    Given 390 hosts that have served nothing yet
    When every host sees 40 servers end under prompts of their own in 2 seconds
    Then there are at most 1210 reports on the platform

  Scenario: hosts with many reports to send tell first of a request that crashes servers again
    Given 390 hosts that have served nothing yet
    When every host sees 10 servers end under prompts of their own in 2 seconds
    And 2 servers end under a request of "request/1" at "host-0"
    And 1 servers end under a request of "request/1" at "host-1"
    Then all hosts refuse a prompt of "request/1"
    And there are at most 1210 reports on the platform

  Scenario: hosts with many reports to send tell first of a crash in a trial
    Given 100 hosts that have served nothing yet
    When 3 servers end under a prompt of "bad"
    And every host sees 10 servers end under prompts of their own in 2 seconds
    And 5 seconds pass
    And 1 servers end under a request of "bad" at "host-0"
    And 7 seconds pass
    Then all hosts refuse a prompt of "bad"

  Scenario: hosts with many reports to send tell first of a trial that completed
    Given 100 hosts that have served nothing yet
    When 3 servers end under a prompt of "sound"
    And every host sees 10 servers end under prompts of their own in 2 seconds
    And 6 seconds pass
    And a request with "sound" completes at the host that tries it
    Then no host refuses a prompt of "sound"

  Scenario: reports that the platform does not take are sent later
    Given 20 hosts where requests with the part "shared" have completed
    When the platform is away while 3 servers end under a prompt of "shared,bad"
    Then all hosts refuse a prompt of "shared,bad"

  Scenario: reports are removed when they are old
    Given 20 hosts that have served nothing yet
    When 3 servers end under a prompt of "shared,bad"
    And 3700 seconds pass
    And every host removes old reports
    Then there are 0 reports on the platform

  Scenario Outline: an answer that ends as <end> <counts> as a crash
    Given a server whose answer ends as <end>
    When 3 incarnations of it have answered a request
    Then a further request is <outcome>

    Examples:
      | end                        | counts | outcome |
      | a closed connection        | counts | refused |
      | a reset connection         | counts | refused |
      | half of an event           | counts | refused |
      | a connection not made      | does not count | answered |
      | silence                    | does not count | answered |
      | a 500                      | does not count | answered |
      | an event out of order      | does not count | answered |

  Scenario: the caller learns when a quarantined part is tried again
    Given a part of a prompt that is quarantined
    When a request with the part is forwarded
    Then it ends with prompt_quarantined after 0 attempts
    And the error has a retry time of about 5 seconds

  Scenario: items with a quarantined part wait and hold up no others
    Given a job of 4 items of which 2 have a quarantined part
    When the job is run
    Then the 2 other items complete and none of the held ones is sent
    And the host reports no items that wait for a slot

  Scenario: a job whose items are held says so in the log
    Given a job of 1 items of which 1 have a quarantined part
    When the job is run
    Then the log says that 1 items of the job are held for the part

  Scenario Outline: items of a job whose owner does not rank first for their quarantined part are run
    Given 24 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,<part>"
    And the host that ranks last for "<part>" owns a job whose items have "shared,<part>"
    And 8 seconds pass
    Then its items complete
    And no host refuses a prompt of "shared,<part>"

    Examples:
      | part  |
      | bad   |
      | other |

  Scenario: an item whose part another item tries holds up no others
    Given 1 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And the host may try "shared,bad" and runs a job of 4 items, 2 of them with it
    Then 1 of these and the 2 others are sent to the only server

  Scenario: an item that tries a part is sent on from a server that does not run it
    Given 1 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And an item that may try "shared,bad" meets a server that does not run it
    Then it is sent to another server in the same trial

  Scenario: a request that tries a part is sent on from a server that does not run it
    Given 1 hosts where requests with the part "shared" have completed
    When 3 servers end under a prompt of "shared,bad"
    And 8 seconds pass
    And a request that may try "shared,bad" meets a server that does not run it
    Then it is sent to another server in the same trial

  Scenario: an item under which servers end again and again is sent ever more rarely
    Given 3 hosts, one of which owns a job of 1 item that crashes servers
    When 3 servers have ended under it
    Then it is not sent for 9 seconds
    When 1 server more has ended under it
    Then it is not sent for 18 seconds
    And it has no result
