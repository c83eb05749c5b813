Feature: Engines hold what the catalogue asks for

  Scenario: Models are loaded where replicas are asked for
    Given two managed engines that check fencing numbers
    When an entry asks for two replicas of version "1"
    Then both engines hold version "1"
    And each order had a fencing number of its own, and they rose

  Scenario: A new version serves before the old one goes
    Given two managed engines that check fencing numbers
    And an entry asks for two replicas of version "1"
    And both engines hold version "1"
    When the entry asks for version "2"
    Then both engines hold only version "2"
    And at no time did no engine serve the entry

  Scenario: The last replica stays while the new version cannot be loaded
    Given two managed engines that hold version "1" and reach no weight store
    When an entry asks for two replicas of version "2"
    Then both engines go on holding version "1"

  Scenario: Loads are bounded
    Given four managed engines of a zone that loads one at a time
    When an entry asks for four replicas of version "1"
    Then all engines hold version "1"
    And at no time did two engines load at once

  Scenario: An engine that ignores fencing numbers gets orders of one host
    Given two managed engines that ignore fencing numbers
    When an entry asks for two replicas of version "1"
    Then both engines hold version "1"
    When the hosts that gave the orders are lost and version "2" is asked for
    Then both engines hold only version "2"
    And no order came from two hosts within a lease

  Scenario: A leaving engine gets no orders
    Given two managed engines that check fencing numbers
    When one engine drains and an entry asks for two replicas of version "1"
    Then only the engine that stays holds version "1"
