Feature: Starting the items of a host's jobs

  Scenario Outline: an item that does not start because it is <refusal> holds up no other item
    Given 2 jobs of 2 items each at one service
    When items start and item 0 of the first job is refused as <refusal>
    Then the 3 other items start
    And the first job alone reports <refusal>

    Examples:
      | refusal     |
      | earlier_run |
      | quarantined |

  Scenario Outline: a service that takes no item because of <refusal> is asked once
    Given 2 jobs of 2 items each at one service
    When items start and every item is refused as <refusal>
    Then 1 item has been asked for
    And both jobs report <refusal>

    Examples:
      | refusal   |
      | run_limit |
      | no_server |

  Scenario: items of two jobs with the same ids run at the same time
    Given a host that works on jobs, with two servers
    And the servers do not answer yet
    When job-1 and job-2 are accepted with 3 items each
    Then 6 runs begin
    When the servers answer
    Then job-1 and job-2 have 3 whole results each

  Scenario: an item does not go on where another job's item of the same id stopped
    Given a host that runs 1 items at a time, with two servers
    And the servers do not answer yet
    And runs end as broken after 2, whole, whole
    When job-1 and job-2 are accepted with 1 items each
    And the servers answer
    Then job-1 and job-2 have 1 whole results each
    And the runs resumed after events 0, 0 and 2

  Scenario: the runs of a job go on when another with the same item ids is cancelled
    Given a host that works on jobs, with two servers
    And the servers do not answer yet
    When job-1 and job-2 are accepted with 3 items each
    Then 6 runs begin
    When job-1 is cancelled
    Then the runs of job-2 are not cancelled

  Scenario: a run that crashes before it asks its server gives its slot back
    Given a run of an item whose check of limits raises an error
    When it is performed
    Then it raises the error
    And its host has no item in flight and reports no failure of the server

  Scenario: a host claims no free slots for a job whose results it cannot read yet
    Given a host that works on jobs, with its log
    And its link to the platform ends once the next job is stored
    When a job of 3 items is accepted for it
    Then reading its results fails
    And the host tells others of no item that waits for a slot
    When the link to the platform is back
    Then all 3 items are listed as completed with their whole text
