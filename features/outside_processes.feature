Feature: Stand-ins as processes

  Scenario Outline: a <kind> stand-in runs until it gets SIGTERM
    Given a <kind> stand-in process
    Then its faults can be set and cleared by HTTP
    And invalid faults are rejected with their locations
    And its history counts the call to <path>
    When the stand-in process gets SIGTERM
    Then the stand-in process ends with 0

    Examples:
      | kind     | path              |
      | platform | /objects/thing/a  |
      | engine   | /v1/completions   |
      | service  | /reservations     |

  Scenario: a port in use is reported
    Given a platform stand-in process
    When another stand-in process is started on its port
    Then it ends with 1 and says "address_in_use"

  Scenario: idle connections to unused addresses are closed
    Given an adapter that keeps idle connections for 0.2 seconds
    And two service stand-ins that were called once
    When the idle time has passed and the first service is called again
    Then no connection to the second service is left
