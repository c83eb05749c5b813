Feature: Hosts of which the platform stops answering some or all

  Scenario Outline: a change reaches hosts that hear nothing from the platform
    Given 3 daemons, 2 engines and a platform
    When <hosts> of the daemons hear nothing from the platform
    And 0.3 seconds have passed
    And a route is added
    Then every daemon serves it within 2 seconds

    Examples:
      | hosts |
      | 1     |
      | 2     |

  Scenario: a removed engine is not used by hosts that hear nothing
    Given 3 daemons, 2 engines and a platform
    When 2 of the daemons hear nothing from the platform
    And 0.3 seconds have passed
    And the entry of the first engine is removed
    And 2 seconds have passed
    And 8 requests are sent to each daemon
    Then the first engine has got none of the last requests
    And all of them were served

  Scenario: a change is in force soon after the platform has come back
    Given 3 daemons, 2 engines and a platform
    When 3 of the daemons hear nothing from the platform
    And 6 seconds have passed
    And 3 of the daemons hear from the platform again
    And a route is added
    Then every daemon serves it within 2 seconds

  Scenario: a source that hears nothing says so
    Given a host that answers others what it hears from the platform
    When it has heard nothing for longer than a watch takes
    Then it does not answer that nothing has changed

  Scenario: a host that has lost the platform makes no reads for others
    Given a host that relays calls and has lost the platform
    When another host asks it for a list
    Then it refuses at once without a call to the platform
