Feature: Batch items at backend servers that fall silent

  # Guards against items that lose their places when their server pauses.
  Scenario Outline: <items> items at <servers> servers that pause for <pause> seconds after event <event>
    Given <servers> servers that pause for <pause> seconds after event <event>
    When a host runs a job of <items> items there
    Then all <items> items are whole within <bound> seconds
    And the servers have got <items> runs

    Examples:
      | items | servers | pause | event | bound |
      | 1     | 2       | 3.5   | 2     | 8     |
      | 1     | 2       | 3.5   | 0     | 8     |
      | 4     | 2       | 3.5   | 2     | 8     |
      | 8     | 2       | 7     | 2     | 12    |
      | 8     | 2       | 7     | 0     | 12    |
      | 2     | 1       | 7     | 2     | 12    |

  Scenario Outline: items at a server that never goes on after event <event>
    Given 1 servers that pause for 60 seconds after event <event>
    And 1 servers that pause for 0 seconds after event 0
    When a host runs a job of 8 items there
    Then all 8 items are whole within 12 seconds
    And no item of the host is counted at any server

    Examples:
      | event |
      | 0     |
      | 2     |

  Scenario: an item at a silent server gives way to online requests at once
    Given 1 servers that pause for 60 seconds after event 2
    When a host runs a job of 2 items there
    And its server is silent and online requests fill it
    Then no item of the host is counted at any server within 1 seconds
