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

  Scenario Outline: a host watches for ends as long as <bound> ms allow
    Given a settings file of the platform with Bounds.CancelMs=<bound>
    Then a watch for ended jobs waits for <seconds> seconds

    Examples:
      | bound | seconds |
      | 3000  | 1.5     |
      | 1000  | 0.5     |
      |       | 1.5     |
      | 60000 | 10      |
