Feature: Jobs of a host that stops as planned go on at others

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
