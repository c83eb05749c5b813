Feature: Odd entries among those of the engines

  Scenario Outline: an entry that is <odd> does not hide the others
    Given a store with the entries of two engines
    When another writer leaves an entry that is <odd>
    Then both engines are listed, and it is not
    And a watch tells of a third engine that is added later

    Examples:
      | odd                               |
      | very deeply nested                |
      | with a number of 6,000 digits     |
      | with an infinite number           |
      | with a start beyond 64 bits       |
      | with a port out of range          |
      | with an address that is no IP     |
      | no object                         |
      | with half of a surrogate pair     |
      | nested 250 levels deep            |
      | nested 900 levels deep            |
      | no JSON                           |
      | a text of a megabyte              |

  # Guards against one entry that hides all others of its kind.
  Scenario Outline: no entry that another writer leaves hides engines from a <call>
    Then whatever lies beside two engines, a <call> shows these and no other

    Examples:
      | call  |
      | list  |
      | watch |

  Scenario: an object that cannot be read has no contents
    Given a store with the entries of two engines
    When another writer leaves an entry that is with half of a surrogate pair
    Then a read of it returns an object without contents

  Scenario: daemons go on beside odd entries
    Given 1 daemon, 2 engines and a platform
    When another writer leaves every kind of odd entry
    And a route is added
    Then every daemon serves it within 2 seconds
    And the daemon has started once

  Scenario: an engine whose entry becomes unreadable is not used
    Given a store with the entries of two engines
    When the entry of the first engine becomes very deeply nested
    Then a watch or a list shows that it is gone
