Feature: Hosts that are drained before the platform removes them

  Scenario: a host hands its work over, then completes the request
    Given a host worker-1 among live hosts
    When worker-1 is asked to retire within 10 seconds
    Then it hands over within 4 seconds and then worker-1 is completed once

  Scenario: a failed completion is written again until it succeeds
    Given a host worker-1 among live hosts
    And the platform fails the next 2 writes
    When worker-1 is asked to retire within 10 seconds
    Then it hands over within 4 seconds and then worker-1 is completed once

  Scenario: a live host completes its own request
    Given a host worker-1 among live hosts
    When worker-2 is asked to retire within 10 seconds
    Then only worker-2 itself hands over and completes

  Scenario: the request of a lost host is completed where most hosts handle none
    Given a host worker-1 among live hosts, and 20 hosts that handle no requests
    When worker-9 is asked to retire within 10 seconds
    Then worker-9 is completed by one of the live hosts within 8 seconds

  Scenario: one live host completes the request of a lost host
    Given a host worker-1 among live hosts
    When worker-9 is asked to retire within 10 seconds
    Then worker-9 is completed by one of the live hosts
