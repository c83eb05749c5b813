Feature: Kinds of objects that a host has to read before it starts items

  # Guards against items of a job whose cancellation a starting host has not read.
  Scenario: a starting host that has read the jobs alone starts no item
    Given a host that works on jobs and cannot read forward-progress
    And a job of 8 items for it that has been cancelled
    When it reads each kind
    Then it knows the job and none of its items starts in 1 second
    When it can read all kinds
    And it reads each kind
    Then none of its items starts in 1 second

  Scenario Outline: a starting host starts items once it has read <kind> too
    Given a host that works on jobs and cannot read <kind>
    And a job of 3 items for it
    When it reads each kind
    Then it knows the job and none of its items starts in 1 second
    When it can read all kinds
    And it reads each kind
    Then all 3 items start

    Examples:
      | kind             |
      | forward-progress |
      | prompt-reports   |

  # Guards against a store that rejects one kind and so stops all jobs for ever.
  Scenario: a starting host waits 10 seconds for a kind that cannot end jobs
    Given a host that works on jobs and cannot read prompt-reports
    And a job of 3 items for it
    When 9 seconds pass in which it reads each kind
    Then it may start no item
    When 2 seconds pass in which it reads each kind
    Then all 3 items start

  # Guards against items of ended jobs where the platform rejects their ends.
  Scenario: a host waits without a limit for the kind that tells of ended jobs
    Given a host that works on jobs and cannot read forward-progress
    And a job of 8 items for it that has been cancelled
    When 600 seconds pass in which it reads each kind
    Then it knows the job and none of its items starts in 1 second

  # Guards against items of a job that was accepted and cancelled in an outage.
  Scenario: a host that reads the jobs first after an outage starts no item
    Given a host that works on jobs and has read each kind
    When the platform is away for 5 seconds
    And a job of 8 items for it is accepted and cancelled meanwhile
    And it reads each kind but forward-progress
    Then it knows the job and none of its items starts in 1 second
    When it can read all kinds
    And it reads each kind
    Then none of its items starts in 1 second

  # Guards against jobs that stop while nobody can be asked.
  Scenario: a host that has read each kind starts items while the platform is away
    Given a host that works on jobs and has read each kind
    When the platform is away for 60 seconds
    Then it may start items

  # Guards against a stop at each failed call.
  Scenario: a kind that fails for less than 3 seconds holds up no item
    Given a host that works on jobs and has read each kind
    When it can read each kind but forward-progress for 2 seconds
    Then it may start items
    When it can read each kind but forward-progress for 2 seconds
    Then it may start no item

  # Guards against a job that a starting host takes from its present owner.
  Scenario: a starting host that has not read who owns a job does not pass it on
    Given a host that works on jobs and cannot read forward-progress
    And a job of it that "host-3" has taken over
    When it reads each kind
    And it hands its jobs over after 1 second
    Then "host-3" still owns the job after 1 second
