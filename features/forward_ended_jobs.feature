Feature: Jobs that their callers have ended

  # Guards against a watch that a silent connection holds up for 10 seconds.
  Scenario: no item of an ended job starts after connections fell silent
    Given 3 daemons, 2 engines and a platform
    And an item takes 1 second
    When 3 jobs of 120 items are submitted
    And 2 seconds have passed
    And the open connections to the platform fall silent
    And 3.1 seconds have passed
    And the jobs are ended at the first daemon
    And 7 seconds have passed
    Then no item has reached an engine over 3 seconds after the end of its job
    And items were left when the jobs ended

  # Guards against an end that its owner hears of only from the platform.
  Scenario: the owners of ended jobs hear of the end beside the platform
    Given 3 daemons, 2 engines and a platform
    And an item takes 1 second
    When 3 jobs of 120 items are submitted
    And 2 seconds have passed
    And 2 of the daemons hear nothing from the platform
    And 0.2 seconds have passed
    And the jobs are ended at the last daemon
    And 5 seconds have passed
    Then no item has reached an engine over 0.5 seconds after the end of its job
    And items were left when the jobs ended

  Scenario: a job stays ended when a write from before its end is reported late
    Given two hosts on one platform
    When a job is submitted at the first host
    And the second host hears of its end and then of an earlier write
    Then the second host sees it cancelled

  Scenario: only a cancelled job is told, and only to a host that owns it
    Given two hosts of which the first ends a job of the second
    When the job is ended twice
    Then the second host is told twice and the first never
    And a notice for an unknown job changes nothing

  Scenario: notices of ended jobs survive the way over the network
    Then a notice of two ended jobs is decoded as it was

  Scenario Outline: a host watches for ends as long as <bound> ms allow
    Given a settings file of the platform with Bounds.CancelMs=<bound>
    Then a watch for ended jobs waits for <seconds> seconds

    Examples:
      | bound | seconds |
      | 3000  | 1.5     |
      | 1000  | 0.5     |
      |       | 1.5     |
      | 60000 | 10      |

  # Guards against reports of crashes that a silent platform holds up for 10 seconds.
  Scenario: a host watches for reports of prompts as long as it does for configurations
    Given a settings file of the platform with Bounds.ConfigApplyMs=2000
    Then a watch for reports of prompts waits for 1 seconds
