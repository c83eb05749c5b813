Feature: Hosts that are emptied before they are taken away

  Scenario: a host that is asked to hands its work over, then says so
    Given a host worker-1 among live hosts
    When worker-1 is asked to retire within 10 seconds
    Then it hands over within 4 seconds and then worker-1 is completed once

  Scenario: the end is written again until the platform takes it
    Given a host worker-1 among live hosts
    And the platform does not take the next 2 writes
    When worker-1 is asked to retire within 10 seconds
    Then it hands over within 4 seconds and then worker-1 is completed once

  Scenario: a live host speaks for itself
    Given a host worker-1 among live hosts
    When worker-2 is asked to retire within 10 seconds
    Then only worker-2 itself hands over and completes

  Scenario: one host speaks for a host that is gone
    Given a host worker-1 among live hosts
    When worker-9 is asked to retire within 10 seconds
    Then worker-9 is completed by one of the live hosts
