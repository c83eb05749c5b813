Feature: Batch jobs with more items than the slots can run until they are due

  Scenario Outline: jobs that are late already do not make all later ones late
    Given 32 jobs of 10 items of 5 seconds each, due in 18 seconds, one every <gap> seconds
    When <hosts> hosts run them in 21 slots
    Then three quarters of the items that fit the slots are done in time

    Examples:
      | hosts | gap |
      | 8     | 1.5 |
      | 32    | 1.5 |
      | 8     | 1   |
