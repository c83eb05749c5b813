Feature: Threads that outlive errors which no part of the project expects

  Scenario: a loop that raises is run again, ever later
    Given a thread whose loop raises 3 times
    When the thread is started
    Then its loop is run 4 times within 3 seconds
    And the log names failures 1 and 2 of loop of some-loop
    And the pauses before the runs grow
    And the thread ends once it is told to stop

  Scenario: a task in the background that raises is done at a later try
    Given a task in the background that raises 2 times
    When it is started and waited for
    Then it was tried 3 times

  Scenario: a loop that always raises counts as stuck until it is stopped
    Given a part whose task fails every 4 seconds
    When 2 of its failures have passed
    Then it does not count as stuck
    When 3 of its failures have passed
    Then it counts as stuck
    When 11 seconds without a failure have passed
    Then it does not count as stuck

  Scenario: a mirror whose sink raises once learns of later objects
    Given a running mirror whose sink raises for the first change
    When two objects are written
    Then the sink has the second object
    And the log names the failure of mirror-things

  Scenario: a claimer goes on after a write that raises
    Given a running claimer of trials whose first write raises
    When a request with the quarantined part asks for a trial
    Then the trial is claimed at a later request

  Scenario: a host goes on to hear its peers after a datagram that raises
    Given a peer port whose first datagram raises
    When 3 datagrams are sent to it
    Then it handles the other 2 within 2 seconds

  Scenario: a call whose check raises keeps no other call from being cancelled
    Given a watch of callers with a call whose check raises
    When the caller of another call leaves
    Then that call is cancelled within 2 seconds

  Scenario: a record that cannot be formatted ends no log
    Given a log into a pipe
    When a record that cannot be formatted is logged, and a sound one
    Then both have a line

  Scenario: an error that ends a task of a pool is logged
    Given a pool with a task that raises
    Then a line names the task and its error
