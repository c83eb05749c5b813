Feature: Operators' edits of the catalogue come into force on every host

  Background:
    Given a fleet of entry hosts in zones north and south

  Scenario: An accepted edit is in force on every host
    When an operator puts the owner "lammikko" and the entry "report"
    Then the catalogue of every host holds "report" at version 1
    When an operator puts the entry "report" again on another host
    Then the catalogue of every host holds "report" at version 2
    And the history of "report" records who, when, why, before and after

  Scenario: Of two concurrent edits one is refused with the current version
    When an operator puts the owner "lammikko" and the entry "report"
    And two operators concurrently edit "report" at version 1
    Then one edit is accepted and the other is answered 412 with version 2

  Scenario: An invalid edit is refused with all findings
    When an operator puts an entry with an unknown owner and an invalid class
    Then the edit is answered 400 with findings at "$.model.class"
    When an operator puts an entry with an unknown owner
    Then the edit is answered 400 with findings at "$.owner"

  Scenario: The operator port requires the operator's token
    Then the operator port answers 401 without a token and 403 with a wrong one

  Scenario: A deleted object does not come back
    When an operator puts the owner "lammikko" and the entry "report"
    And an operator deletes the entry "report" at version 1
    Then no host holds "report"
    And the history still records the deletion of "report"

  Scenario: An edit whose response was lost is applied once
    When an operator puts the owner "lammikko" and the entry "report"
    And the platform loses the response to the next edit of "report"
    Then the edit was accepted once and the history shows it once

  Scenario: A long history is kept complete in objects of bounded size
    When an operator edits an owner with many keys 25 times
    Then the history of the owner holds all 25 edits
    And no object on the platform is larger than a megabyte
