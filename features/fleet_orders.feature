Feature: Engines hold the models that the catalogue asks for

  Scenario: Models are loaded where replicas are asked for
    Given two managed engines that check fencing tokens
    When an entry asks for two replicas of version "1"
    Then both engines hold version "1"
    And each order had its own fencing token, in rising order

  Scenario: A new version serves before the old one is unloaded
    Given two managed engines that check fencing tokens
    And an entry asks for two replicas of version "1"
    And both engines hold version "1"
    When the entry asks for version "2"
    Then both engines hold only version "2"
    And at least one engine served the entry at all times

  Scenario: The last replica stays while the new version cannot be loaded
    Given two managed engines that hold version "1", which an entry asks for, and reach no weight store
    When the entry asks for version "2"
    Then both engines still hold version "1"

  Scenario: The number of concurrent loads is limited
    Given four managed engines of a zone that loads one at a time
    When an entry asks for four replicas of version "1"
    Then all engines hold version "1"
    And no two engines loaded at the same time

  Scenario: An engine that ignores fencing tokens gets orders from one host at a time
    Given two managed engines that ignore fencing tokens
    When an entry asks for two replicas of version "1"
    Then both engines hold version "1"
    When the hosts that sent orders are lost and version "2" is asked for
    Then both engines hold only version "2"
    And no two hosts sent orders within one lease

  Scenario: A leaving engine gets no orders
    Given two managed engines that check fencing tokens
    When one engine drains and an entry asks for two replicas of version "1"
    Then only the engine that stays holds version "1"
