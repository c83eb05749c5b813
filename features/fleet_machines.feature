Feature: The decisions hold under any order of events

  Scenario: Membership settles and keeps no running host out for long
    Then the state machine "MembershipMachine" finds no counterexample

  Scenario: Catalogue versions only rise and no accepted edit is lost
    Then the state machine "CatalogueMachine" finds no counterexample

  Scenario: At most one order is effective for each fencing number
    Then the state machine "OrderMachine" finds no counterexample

  Scenario: Engines that ignore fencing numbers are ordered by one host
    Then the state machine "LeaseMachine" finds no counterexample

  Scenario: Nothing older undoes a leaving mark
    Then the state machine "LeavingMachine" finds no counterexample

  Scenario: An orderer that was paused past its lease sends nothing
    Given an engine that ignores fencing numbers and two hosts
    When the first takes the object and is paused past its lease
    And the second waits the lease out and orders
    Then the first sends nothing when it wakes

  Scenario: A mark that arrives late undoes no newer one
    Given a host that knows a backend server to leave, stay and leave again
    When the older marks arrive again
    Then the backend server is still leaving
