Feature: Running the items of forwarded jobs

  Scenario: every item of an accepted job is listed once, with its whole text
    Given a host that works on jobs, with two servers
    When a job of 5 items is accepted for it
    Then all 5 items are listed as completed with their whole text
    And the job is stored as finished
    And none of its items is in flight

  Scenario Outline: an item whose runs end as <ends>
    Given a host that works on jobs, with two servers
    And runs end as <ends>
    When a job of 1 items is accepted for it
    Then the one result is <state> after <runs> runs

    Examples:
      | ends                       | state     | runs |
      | 500, 500                   | given up  | 2    |
      | 500, whole                 | completed | 2    |
      | 422                        | given up  | 1    |
      | refused, refused, whole    | completed | 3    |
      | broken after 2, whole      | completed | 2    |
      | broken after 2, 500, whole | completed | 3    |
      | twice, whole               | completed | 2    |
      | reset, reset, reset, whole | completed | 4    |

  Scenario: a run resumes after the last event of the previous one
    Given a host that works on jobs, with two servers
    And runs end as broken after 2, broken after 4, whole
    When a job of 1 items is accepted for it
    Then the one result is completed after 3 runs
    And the runs resumed after events 0, 2 and 4

  Scenario: a host at its own limit of runs claims no more free slots
    Given a host that runs 2 items at a time, with two servers
    And the servers do not answer yet
    When a job of 5 items is accepted for it
    Then 2 items run and the host tells others that 0 wait for a slot
    When the servers answer
    Then all 5 items are listed as completed with their whole text

  Scenario: a host below its limit of runs claims slots for the rest of it
    Given a host that runs 20 items at a time, with two servers
    And the servers do not answer yet
    When a job of 40 items is accepted for it
    Then 14 items run and the host tells others that 6 wait for a slot

  Scenario: no item of a cancelled job is started
    Given a host that works on jobs, with two servers
    And runs end as refused, refused, refused, refused, refused, refused
    When a job of 1 items is accepted for it
    And the job is cancelled after its first run
    Then no run starts later

  # Guards against items of jobs whose ends a host has not heard of.
  Scenario: no item starts while the ends of jobs are not known
    Given a host that works on jobs, with two servers
    And the host has not heard for long which jobs have ended
    When a job of 3 items is accepted for it
    Then no item of it has run after 1 second
    When the host hears which jobs have ended
    Then all 3 items are listed as completed with their whole text

  Scenario: an item does not go on elsewhere while the ends are not known
    Given a host that works on jobs, with two servers
    And runs end as refused, refused, refused, refused, refused, refused
    When a job of 1 items is accepted for it
    And the host no longer hears which jobs have ended after its first run
    Then no run starts later

  Scenario: a job that another host has taken over is dropped
    Given a host that works on jobs, with two servers
    And runs end as refused, refused, refused, refused, refused, refused
    When a job of 1 items is accepted for it
    And another host takes the job over after its first run
    Then no run starts later

  Scenario: a job of a lost host is taken over and finished
    Given a host that works on jobs, with two servers
    And item 0 of a job of host-9 is listed
    When host-9 is absent
    Then all 3 items are listed as completed with their whole text

  Scenario: results are listed once when the platform is back
    Given a host that works on jobs, with two servers
    When a job of 3 items is accepted for it, and the platform becomes unreachable
    And the platform is back after all items have run
    Then all 3 items are listed as completed with their whole text
    And each item has run once
