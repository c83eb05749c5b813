Feature: Each open job is looked after by a few hosts

  Scenario: hosts that agree leave no job alone and share the work
    Given 60 live hosts and 500 open jobs of one chunk
    When each host chooses the jobs that it looks after
    Then each job has 4 hosts
    And no host has more than 64 jobs

  Scenario: a job of many chunks is shared by as many hosts
    Given 60 live hosts and 20 open jobs of 30 chunks
    When each host chooses the jobs that it looks after
    Then each job has 30 hosts

  Scenario: a host that finds nothing reaches every job
    Given 60 live hosts and 40 open jobs of one chunk
    When a host finds no work 5 times
    Then it looks after all 40 jobs
    And after it has found work it looks after less than 10

  Scenario: only hosts that can run the entry look after its jobs
    Given 60 live hosts and 40 open jobs of one chunk
    And the entry is served in one of 3 zones only
    When each host chooses the jobs that it looks after
    Then each job has 4 hosts of that zone

  Scenario: hosts that see different peers still leave no job alone
    When hypothesis takes hosts from some views of the fleet
    Then a job's first host in the view of all looks after it
