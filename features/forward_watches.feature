Feature: Watches that a few hosts of a zone make for all

  Scenario Outline: the platform calls for a change in a zone of <hosts> hosts
    Given <hosts> hosts of a zone that watch a kind
    When an object is written
    Then every host learns of it
    And it takes <calls> watches of the platform

    Examples:
      | hosts | calls |
      | 3     | 3     |
      | 6     | 6     |
      | 30    | 2     |
      | 100   | 2     |

  Scenario Outline: changes are not missed while <fault>
    Given 30 hosts of a zone that watch a kind
    When <fault>
    And an object is written
    Then every host that reaches the platform learns of it

    Examples:
      | fault                                               |
      | one of the watching hosts is lost                   |
      | both watching hosts are lost                        |
      | one of the watching hosts cannot reach the platform |
      | both watching hosts cannot reach the platform       |
      | the watching hosts begin to watch after a change    |

  Scenario: a host that cannot reach the platform learns of changes
    Given 30 hosts of a zone that watch a kind
    When another host cannot reach the platform
    And an object is written
    Then every host learns of it

  Scenario: a frozen source delays a host without the platform only briefly
    Given 3 hosts of a zone that watch a kind
    When a host cannot reach the platform and its first source is frozen
    And an object is written
    Then every host that answers learns of it
    And no host has waited longer than 0.6 seconds for the frozen one

  Scenario: hosts notice that the platform is away
    Given 30 hosts of a zone that watch a kind
    When the platform is away
    Then the watches of all hosts fail

  Scenario: a deletion reaches a host that asks another one
    Given 30 hosts of a zone that watch a kind
    When an object is written
    And the object is removed
    Then every host learns that it is gone

  Scenario: a log that has dropped old changes says so
    Given a log of 600 changes of one object
    Then a host that is 100 changes behind gets these
    And a host that is 599 changes behind is told to ask the platform

  Scenario: a log with a gap starts anew
    Given a log of 3 changes of one object
    When the host misses a change and watches again
    Then a host that is 2 changes behind is told to ask the platform

  Scenario: two hosts exchange changes over one connection
    Given a peer server that passes on what it watches
    When a host asks it for changes three times
    Then the host gets each change once, over one connection
    And a peer that does not answer in time is given up
