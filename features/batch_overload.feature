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

  Scenario Outline: an item steps back if it would be late, unless it has waited for long
    Given jobs due in 18 seconds whose items run for <run> seconds and are given up after <wait> seconds
    When an item of a job that is <age> seconds old has run for <done> seconds before
    Then it starts <when> one of a job that is 1 second old

    Examples: items of which none has been completed
      | run | wait | age | done | when   |
      | 0   | 60   | 13  | 0    | before |
      | 0   | 60   | 14  | 0    | after  |
      | 0   | 60   | 38  | 0    | after  |
      | 0   | 60   | 40  | 0    | before |
      | 0   | 0    | 53  | 0    | after  |
      | 0   | 0    | 55  | 0    | before |

    Examples: items of which some have been completed
      | run | wait | age | done | when   |
      | 5   | 60   | 12  | 0    | before |
      | 5   | 60   | 14  | 0    | after  |
      | 5   | 60   | 14  | 3    | before |
      | 5   | 60   | 17  | 3    | after  |
      | 5   | 60   | 17  | 8    | after  |

  Scenario Outline: a host leaves slots to hosts whose items can be in time
    Given a host with 5 waiting items, <own> of them late, after one with 40, <other> of them late
    When it looks for slots at 2 servers
    Then it has started <started> items

    Examples:
      | own | other | started |
      | 0   | 40    | 5       |
      | 0   | 38    | 5       |
      | 0   | 0     | 0       |
      | 5   | 40    | 0       |
      | 5   | 0     | 0       |

  Scenario: items of a host that does not tell which ones are late count as in time
    Given a host with 5 waiting items, 0 of them late, after one with 40 of an older release
    When it looks for slots at 2 servers
    Then it has started 0 items

  Scenario: other hosts are told how many of the waiting items are late
    When a host has 50 items that wait for a slot and 10 that would be in time
    Then it tells other hosts of 50 waiting items, 40 of them late
