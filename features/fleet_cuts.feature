Feature: Partitioned zones keep working and catch up after the partition

  Scenario: Hosts cut off from the platform receive an edit from peers
    Given a fleet of entry hosts in zones north and south
    And zone south cannot reach the platform
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1

  Scenario: A host cut off from the platform writes an edit through a peer
    Given a fleet of entry hosts in zones north and south
    And zone south cannot reach the platform
    When an operator puts the owner "lammikko" on a host of zone south
    Then the edit is accepted and in force on every host
    And the platform was reached through a peer

  Scenario: An edit is refused as not run if no host reaches the platform
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And no zone can reach the platform
    When an operator puts the owner "pesebres" on a host of zone south
    Then the edit is answered 503 and not run
    And the catalogue of every host holds "report" at version 1

  Scenario: A new host during an outage starts from its peers
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And no zone can reach the platform
    When a new host joins through its seeds
    Then the catalogue of every host holds "report" at version 1

  Scenario: A host starts alone from the catalogue copy on its disk
    Given a host with a data folder that holds the entry "report"
    When it restarts without the platform and without peers
    Then its catalogue holds "report" at version 1

  Scenario: A zone partitioned from its peers rejoins them
    Given a fleet of entry hosts in zones north and south
    When zones north and south are partitioned from each other
    Then no host lists a peer of the other zone
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1
    When the partition heals
    Then all hosts list each other again

  Scenario: A one-way loss of datagrams between two hosts removes neither
    Given a fleet of entry hosts in zones north and south
    When all datagrams from one host to another are lost
    Then every host stays listed for twice the suspicion time

  Scenario: A host that leaves is listed as having left
    Given a fleet of entry hosts in zones north and south
    When one host leaves
    Then the others list it as having left

  Scenario: A new host at an old host's address replaces the old one
    Given a fleet of entry hosts in zones north and south
    When one host is replaced by another under the same address
    Then the others see the new host alive and not the old one

  Scenario: Messages from outside the fleet are refused
    Given a fleet of entry hosts in zones north and south
    When replayed messages and ones with a wrong key or format arrive
    Then each is counted under its reason for refusal

  Scenario: The platform is restored to an old state
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And an operator puts the entry "report" again on another host
    When the platform is restored to the state before the last edit
    Then the fault is reported and the catalogue still holds version 2
    When an operator puts the entry "report" at version 2
    Then the catalogue of every host holds "report" at version 3

  Scenario: A bad object on the platform leaves the last good one in force
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    When the platform holds a bad copy of "report"
    Then the fault is reported and the catalogue still holds version 1

  Scenario: Watches that stop delivering events are detected
    Given a fleet of entry hosts that rarely make full lists
    And the watches of zone south deliver no events
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1
    And the silent watches are detected

  Scenario: Stale reads do not bring an older version back
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And zone south reads a frozen copy of the platform's current state
    When an operator puts the entry "report" again on another host
    Then the catalogue of every host holds "report" at version 2
    And the catalogue of zone south stays at version 2
