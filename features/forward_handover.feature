Feature: Jobs of a host that stops as planned go on at others

  # Guards against items that begin anew at each planned stop of their host.
  Scenario: items go on after their last event when their host stops
    Given 3 daemons on the users' platform with 2 engines
    And the engines take 6 seconds for a stream
    When a job of 4 items is submitted
    And the host that works on the job gets a stop signal while its items run
    Then another host lists all 4 results whole
    And each item went on once, after the last event that its host had read
    And the job was passed on within 1 second

  # Guards against jobs that move from one host that is to be stopped to the next.
  Scenario Outline: a host that stops passes a job on to <owner>
    Given hosts that started at <started> s, of which "<unable>" cannot run items
    And host-1 has an open job
    When a host that started at 100 s stops
    Then <owner> gets its job

    Examples:
      | started         | unable | owner               |
      | 10, 20, 110, 30 |        | host-2              |
      | 10, 120, 110, 3 |        | host-2              |
      | 10, 20, 110, 30 | host-2 | host-0              |
      | 101, 99, 10, 98 | host-3 | host-0              |
      | 110, 98, 10, 98 | host-2 | host-0              |

  Scenario: a host that stops spreads its jobs
    Given 3 hosts that started later
    When a host with 6 jobs stops
    Then each of them gets 2 jobs

  Scenario: a host that stops gives new jobs to others
    Given 3 hosts
    When host-0 is leaving
    Then a new job that it accepts belongs to another host

  Scenario Outline: an item whose host has received <text> <goes on>
    Given a host that works on jobs, with two servers
    And it has received <text>
    When a job of 1 items is accepted for it
    Then all 1 items are listed as completed with their whole text
    And its run goes on after event <after>

    Examples:
      | text                                   | goes on     | after |
      | 3 events of the item                   | goes on     | 3     |
      | 3 events of an item of another job     | begins anew | 0     |
      | 3 events of another item               | begins anew | 0     |
      | 3 events of another software version   | begins anew | 0     |
      | 3 events of the item, too long ago     | begins anew | 0     |
      | more events of the item than are kept  | begins anew | 0     |

  Scenario: an item that runs keeps its own text
    Given a host that works on jobs, with two servers
    And the servers do not answer yet
    When a job of 1 items is accepted for it
    And its host receives 3 events of the item while it runs
    And the servers answer
    Then all 1 items are listed as completed with their whole text
    And its run goes on after event 0

  Scenario: texts of items reach the next owner of their job
    Given a host that receives texts of items
    When 2 items with 3 events each are handed to it
    Then it has received both texts as they were sent

  Scenario Outline: a job is passed on without its texts if its next owner <fault>
    Given a next owner that <fault>
    When 2 items with 3 events each are handed to it
    Then the host goes on within 1 second and logs that they were not sent

    Examples:
      | fault                      |
      | cannot be reached          |
      | does not answer            |
      | does not know the call     |
