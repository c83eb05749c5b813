Feature: Operators' commands for the catalogue and the fleet

  Background:
    Given a fleet of entry hosts in zones north and south

  Scenario: Operators edit and read the catalogue with commands
    When the command "catalogue put lammikko --file - --who ada --why first" is run
    Then the command prints "lammikko has version 1"
    When the command "catalogue put lammikko --file -" is run
    Then the command is refused with "version_conflict"
    When the command "catalogue put lammikko --file - --version 1" is run
    Then the command prints "lammikko has version 2"
    When the command "catalogue list" is run
    Then the command prints "lammikko  owner  2"
    When the command "catalogue show lammikko" is run
    Then the command prints ""version": 2"
    When the command "catalogue history lammikko" is run
    Then the command prints ""why": "first""
    When the command "catalogue delete lammikko --version 2" is run
    Then the command prints "lammikko is deleted"
    When the command "catalogue history" is run
    Then the command prints ""what": "delete""

  Scenario: Operators list the fleet with a command
    When the command "fleet" is run
    Then the command prints "south-0"
    When the command "fleet --json" is run
    Then the command prints ""reached_directly": true"

  Scenario: A backend server drains
    Given a backend server "engine-1" with one request in flight
    When the command "drain engine-1" is run
    Then the command prints "engine-1 is leaving"
    And every host counts "engine-1" as leaving
    When the command "drain engine-1 --wait --timeout 1" is run
    Then the command is refused with "deadline_exceeded"
    When the request in flight ends
    And the command "drain engine-1 --wait" is run
    Then the command prints "engine-1 has nothing in flight"
    When the command "drain engine-1 --undo" is run
    Then the command prints "engine-1 is staying"
    And no host counts "engine-1" as leaving

  Scenario: A backend server drains while the platform is unreachable
    Given a backend server "engine-1" with one request in flight
    And no zone can reach the platform
    When the command "drain engine-1" is run
    Then the command prints "engine-1 is leaving"
    And every host counts "engine-1" as leaving

  Scenario: A backend server reports that it is leaving
    Given a backend server "engine-1" with one request in flight
    When the backend server "engine-1" reports that it is leaving
    Then every host counts "engine-1" as leaving
    When the backend server "engine-1" reports that it is staying
    Then no host counts "engine-1" as leaving

  Scenario: The host list marks a backend server as leaving
    Given a backend server "engine-1" with one request in flight
    When the host list marks "engine-1" as leaving
    Then every host counts "engine-1" as leaving
