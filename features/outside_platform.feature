Feature: The platform stand-in and the store over it

  Scenario: objects are created, updated and deleted by version only
    Given a platform stand-in with a store
    When the platform object "job/a" is created with "one"
    Then creating platform object "job/a" again conflicts with version 1
    When the platform object "job/a" is updated from version 1 to "two"
    Then updating platform object "job/a" from version 1 conflicts with version 2
    And deleting platform object "job/a" at version 1 conflicts with version 2
    And the platform object "job/a" holds "two" at version 2
    When the platform object "job/a" is deleted at version 2
    Then the platform object "job/a" is absent

  Scenario: objects are listed in pages by name
    Given a platform stand-in with a store
    When 5 platform objects are created under "job/" and one under "other/"
    Then pages of 2 under "job/" list the 5 platform objects in order

  Scenario: a value over a mebibyte is refused
    Given a platform stand-in with a store
    Then a platform value of 1048577 bytes is too large
    And a platform value of 1048576 bytes is accepted

  Scenario: a watch reports a change and does not block other calls
    Given a platform stand-in with a store
    When 20 platform watches wait and an object is created
    Then each platform watch reports that object
    And the platform stand-in counted 20 watches and 1 write

  Scenario: a watch after a restore has to list again
    Given a platform stand-in with a store
    When the platform is restored to a state before its last 3 writes
    Then the platform shows the old state
    And a platform watch from the lost revision has expired
