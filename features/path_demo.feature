Feature: The demo, daemon start, platform calls and readiness

  Scenario: the demo verifies each of its steps
    When the demo runs against an embedded fleet
    Then every step of the demo holds

  Scenario: the daemon exits at start when its settings are invalid
    Given settings with an unknown key and an out-of-range port
    When the daemon is started with them as a process
    Then it ends with exit code 2 and names "$.caller.listen.port"

  Scenario: the daemon exits at start when a port is in use
    Given settings whose caller port is in use
    When the daemon is started with them as a process
    Then it ends with exit code 2 and names "address_in_use"

  Scenario: two processes of a test fleet never get the same port
    When 600 free ports are chosen before one of them is used
    Then no port is chosen twice

  Scenario: a watch is not subject to the timeout of other calls
    Given a platform stand-in and calls that may take 0.2 seconds
    When an object is watched for 0.6 seconds without a change
    Then the watch ends without an event

  Scenario: the fleet-wide write rate is divided among live entry hosts
    Given 100 entry hosts that share 300 writes a second, 10 of them at once
    When one of them writes 40 objects
    Then its writes took 10 seconds

  Scenario: claiming an idempotency key does not queue behind bulk writes
    Given 100 entry hosts that share 300 writes a second, 10 of them at once
    When one of them writes 40 objects
    And it claims a key
    Then its writes took 10 seconds

  Scenario: a host without any catalogue is not ready
    Given an entry host whose platform is unavailable from the start
    Then it is live and not ready, with the code "not_ready"
    When the platform becomes available with a catalogue object
    Then it is ready
