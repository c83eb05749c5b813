Feature: Stand-ins as processes

  Scenario Outline: a <kind> stand-in runs until it gets SIGTERM
    Given a <kind> stand-in process
    Then its faults can be set and cleared by HTTP
    And invalid faults are rejected with their locations
    And its history counts the call to <path>
    When the stand-in process gets SIGTERM
    Then the stand-in process exits with code 0

    Examples:
      | kind     | path              |
      | platform | /objects/thing/a  |
      | engine   | /v1/completions   |
      | service  | /reservations     |

  Scenario: a port in use is reported
    Given a platform stand-in process
    When another stand-in process is started on its port
    Then it exits with code 1 and reports "address_in_use"

  Scenario: idle connections to unused addresses are closed
    Given an adapter that keeps idle connections for 0.2 seconds
    And two service stand-ins that were called once
    When the idle time has passed and the first service is called again
    Then no connection to the second service is left
