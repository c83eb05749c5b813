Feature: Engines that say in their answers that they leave

  Scenario: an engine that says that it leaves gets no further requests
    Given 1 daemon, 2 engines and a platform
    When 6 requests are sent to each daemon
    And the first engine says in its answers that it leaves
    And 6 requests are sent to each daemon
    And 3 seconds have passed
    And 12 requests are sent to each daemon
    Then the first engine has got none of the last requests
    And all of them were served

  Scenario: hosts that got no such answer themselves learn it from the others
    Given 3 daemons, 2 engines and a platform
    When 6 requests are sent to each daemon
    And the first engine says in its answers that it leaves
    And 6 requests are sent to the first daemon
    And 3 seconds have passed
    And 12 requests are sent to each daemon
    Then the first engine has got none of the last requests
    And all of them were served

  Scenario: an engine that starts again under its id gets requests
    Given 1 daemon, 2 engines and a platform
    When the first engine says in its answers that it leaves
    And 6 requests are sent to each daemon
    And the first engine starts again under its id
    And 12 requests are sent to each daemon
    Then the first engine has got some of the last requests

  Scenario: requests are refused at once where every engine says that it leaves
    Given 1 daemon, 1 engines and a platform
    When the first engine says in its answers that it leaves
    And 1 requests are sent to each daemon
    And 2 requests are sent to each daemon
    Then the first engine has got none of the last requests
    And all of them were refused as not run

  Scenario: what an engine at a reused address says counts for itself alone
    Given 1 daemon, 2 engines and a platform
    When another engine that leaves has taken the address of the first one
    And 6 requests are sent to each daemon
    Then the entry of the first engine still gets requests
