Feature: Zones that are cut off go on, and catch up when the cut heals

  Scenario: Hosts cut off from the platform get an edit through peers
    Given a fleet of entry hosts in zones north and south
    And zone south does not reach the platform
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1

  Scenario: A host cut off from the platform takes an edit through a peer
    Given a fleet of entry hosts in zones north and south
    And zone south does not reach the platform
    When an operator puts the owner "lammikko" on a host of zone south
    Then the edit is accepted and in force on every host
    And the platform was reached through a peer

  Scenario: With the platform away everywhere an edit is refused as not run
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And no zone reaches the platform
    When an operator puts the owner "pesebres" on a host of zone south
    Then the edit is answered 503 and not run
    And the catalogue of every host holds "report" at version 1

  Scenario: A new host during an outage starts from its peers
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And no zone reaches the platform
    When a new host joins by the seeds
    Then the catalogue of every host holds "report" at version 1

  Scenario: A host with a disk starts alone from its copy
    Given a host with a data folder that holds the entry "report"
    When it starts again without platform and peers
    Then its catalogue holds "report" at version 1

  Scenario: A zone cut off from its peers heals
    Given a fleet of entry hosts in zones north and south
    When zone south is cut off from its peers
    Then the zones count each other as gone
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1
    When the cut heals
    Then all hosts know each other again

  Scenario: A host that hears but is not heard directly stays a member
    Given a fleet of entry hosts in zones north and south
    When the datagrams from one host to another are lost one way
    Then neither is counted as gone for as long as suspicion lasts

  Scenario: A host that leaves is known to have left
    Given a fleet of entry hosts in zones north and south
    When one host leaves
    Then the others know at once that it left

  Scenario: A host that is replaced under its address is the newer one
    Given a fleet of entry hosts in zones north and south
    When one host is replaced by another under the same address
    Then the others know only the newer one

  Scenario: Messages that are not of the fleet are refused
    Given a fleet of entry hosts in zones north and south
    When messages with a wrong key, of another format and replayed arrive
    Then each is counted as refused by its reason

  Scenario: The platform goes back to an old state
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

  Scenario: Watches that have gone silent are noticed
    Given a fleet of entry hosts that make full lists rarely
    And the watches of zone south are silent
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1
    And the silent watches are noticed

  Scenario: Stale reads bring no older version back
    Given a fleet of entry hosts in zones north and south
    And an operator puts the owner "lammikko" and the entry "report"
    And zone south reads the platform's present state for good
    When an operator puts the entry "report" again on another host
    Then the catalogue of every host holds "report" at version 2
    And the catalogue of zone south does not go back
