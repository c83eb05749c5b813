Feature: The decisions hold under any order of events

  Scenario: Membership converges and excludes no running host for long
    Then the state machine "MembershipMachine" finds no counterexample

  Scenario: Catalogue versions only rise and no accepted edit is lost
    Then the state machine "CatalogueMachine" finds no counterexample

  Scenario: At most one order is effective for each fencing token
    Then the state machine "OrderMachine" finds no counterexample

  Scenario: Engines that ignore fencing tokens get orders from one host at a time
    Then the state machine "LeaseMachine" finds no counterexample

  Scenario: A leaving mark is not undone by an older one
    Then the state machine "LeavingMachine" finds no counterexample

  Scenario: A host that was paused past its lease sends no order
    Given an engine that ignores fencing tokens and two hosts
    When the first host acquires the lease and is paused until the lease expires
    And the second host waits until the lease expires and sends an order
    Then the first host sends nothing when it resumes

  Scenario: A mark that arrives late does not undo a newer one
    Given a host that merged marks of a server leaving, staying, leaving again
    When the older marks arrive again
    Then the backend server is still leaving
