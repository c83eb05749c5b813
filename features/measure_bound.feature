Feature: What the servers' places could have served on a played day

  Scenario: a window is bounded by the places of the servers that are there
    Given a site with 2 servers of 8 places and requests of 0.1 seconds
    And a played day on which 1 server was away from second 2 to 4
    When its bound is worked out
    Then the windows are bounded by "100,168,100" requests

  Scenario: servers that pause have no places while they do
    Given a site with 2 servers of 8 places and requests of 0.1 seconds
    And a played day on which 1 server paused from second 2 to 3
    When its bound is worked out
    Then the windows are bounded by "100,252,100" requests

  Scenario: a request takes a place while it is read and written
    Given a request of 450 tokens that is answered in 41 events
    Then it takes a place of a server for 0.7160 seconds
