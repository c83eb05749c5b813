Feature: Which host runs a job whose owner is lost

  Scenario: a job of a lost host is taken over once and by the host that comes first
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost for 30 seconds
    Then the host that comes first owns the job
    And the job has been taken over once

  Scenario: a host that claims a job after another one leaves it to that host
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost, and host-1 claims its job before host-2, which has not learned of it
    Then host-1 owns the job and host-2 knows it
