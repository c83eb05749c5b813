Feature: Each open job is assigned to a few hosts

  Scenario: hosts that see the same fleet cover every job and share the work
    Given 60 live hosts and 500 open jobs of one chunk
    When each host selects its jobs
    Then each job has at least 4 hosts
    And no host has more than 64 jobs

  Scenario: every host selects all jobs when there are few
    Given 60 live hosts and 20 open jobs of one chunk
    When each host selects its jobs
    Then each job has at least 60 hosts

  Scenario: a host that finds no work selects more jobs
    Given 60 live hosts and 1000 open jobs of one chunk
    When a host finds no work 4 times
    Then it selects all 1000 jobs
    And after it has found work it selects 64

  Scenario: only hosts that can serve the entry select its jobs
    Given 60 live hosts and 200 open jobs of one chunk
    And the entry is served in one of 3 zones only
    When each host selects its jobs
    Then each job has at least 4 hosts, all of that zone

  Scenario: hosts that see different peers still cover every job
    When hypothesis removes hosts from a host's view of the fleet
    Then a job's first-ranked host of the whole fleet selects it
