Feature: Hosts that are alive and cannot run items of jobs

  # Guards against jobs that wait for as long as a host without routes lives.
  Scenario: jobs given to a host that has no routes are run by others
    Given 2 daemons, 2 engines and a platform
    And a third daemon that has started since the configuration is unreadable
    When 9 jobs of 3 items are submitted
    Then all 27 items have reached an engine within 12 seconds
    And the third daemon is not ready

  Scenario: a host that cannot run items loses its jobs within a bound
    Given 3 hosts, of which host-0 owns 6 jobs
    When host-0 cannot run items for 3.5 seconds
    Then the other hosts have taken over each job once
    And a new job is given to another host at each of them

  Scenario: a host that has just started keeps its jobs
    Given 3 hosts, of which host-0 owns 6 jobs
    When host-0 cannot run items for 0.9 seconds
    And host-0 can run items for 5 seconds
    Then no job has been taken over

  Scenario: a host counts as able soon after it is
    Given 3 hosts, of which host-0 owns 6 jobs
    When host-0 cannot run items for 1.5 seconds
    And host-0 can run items for 5 seconds
    Then no job has been taken over
    And no host counts as unable

  Scenario: a host whose withdrawal is lost counts as able in the end
    Given 3 hosts, of which host-0 owns 6 jobs
    When host-0 cannot run items for 3.5 seconds
    And the notices of host-0 are lost
    And host-0 can run items for 5 seconds
    Then no host counts as unable

  Scenario: two lost notices in a row do not make a host count as able
    Given 3 hosts, of which host-0 owns 6 jobs
    When host-0 cannot run items for 1.2 seconds
    And the notices of host-0 are lost
    And host-0 cannot run items for 2 seconds
    Then host-0 counts as unable at the others

  Scenario: no job is taken over where no host can run items
    Given 3 hosts, of which host-0 owns 6 jobs
    When no host can run items for 6 seconds
    Then no job has been taken over

  Scenario: a host of a version that says nothing keeps its jobs
    Given 3 hosts, of which host-0 owns 6 jobs
    When the notices of host-0 are lost
    And host-0 cannot run items for 6 seconds
    Then no job has been taken over

  Scenario: notices of abilities survive the way over the network
    Then a notice that a host is unable is decoded as it was
    And a version that does not know them reads the rest of the datagram

  Scenario: a host that cannot run items sends few datagrams in a large fleet
    Then one of 390 hosts sends at most 250 datagrams a second
