Feature: Each open job is looked after by a few hosts

  Scenario: hosts that agree leave no job alone and share the work
    Given 60 live hosts and 500 open jobs of one chunk
    When each host chooses the jobs that it looks after
    Then each job has at least 4 hosts
    And no host has more than 64 jobs

  Scenario: a few jobs are looked after by all
    Given 60 live hosts and 20 open jobs of one chunk
    When each host chooses the jobs that it looks after
    Then each job has at least 60 hosts

  Scenario: a host that finds nothing looks after more jobs
    Given 60 live hosts and 1000 open jobs of one chunk
    When a host finds no work 4 times
    Then it looks after all 1000 jobs
    And after it has found work it looks after 64

  Scenario: only hosts that can run the entry look after its jobs
    Given 60 live hosts and 200 open jobs of one chunk
    And the entry is served in one of 3 zones only
    When each host chooses the jobs that it looks after
    Then each job has at least 4 hosts, all of that zone

  Scenario: hosts that see different peers still leave no job alone
    When hypothesis takes hosts from some views of the fleet
    Then a job's first host in the view of all looks after it
