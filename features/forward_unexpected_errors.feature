Feature: Errors that no part of the project expects

  Scenario: a job whose first read raises an unexpected error is completed
    Given a host that works on jobs and keeps its log
    And the first 3 reads of results raise an unexpected error
    When job job-1 of 2 items is accepted for it
    Then the 2 items of job-1 are completed
    And the log names 3 crashed steps of job-1

  Scenario: jobs whose reads always raise an unexpected error hold up no other
    Given a host that works on jobs and keeps its log
    And reads of results of the jobs bad-1 to bad-6 raise an unexpected error
    When the jobs bad-1 to bad-6 of 1 items are accepted for it
    And job job-1 of 2 items is accepted for it
    Then the 2 items of job-1 are completed within 3 seconds
    And after 3 seconds each of them was read 3 to 6 times

  Scenario: items are completed after ticks of the runner that raise errors
    Given a host that works on jobs and keeps its log
    And 3 ticks of its runner raise an unexpected error
    When job job-1 of 2 items is accepted for it
    Then the 2 items of job-1 are completed
    And the log names failures 1 and 2 of Tick of job-runner

  Scenario Outline: the <actor> actor goes on after a message that raises
    Given a <actor> actor that keeps its log
    When it is told something that it cannot handle
    Then it answers the next message
    And asking it the same raises the error
    And the log names failures 1 and 2 of NoMessage of <actor>

    Examples:
      | actor      |
      | catalogue  |
      | membership |

  Scenario: a batch loop goes on after a run that returns no delay
    Given a batch loop whose first run returns no delay
    Then it runs again within 3 seconds

  Scenario Outline: a job that raises when <work> holds up no other job
    Given a host that works on jobs and keeps its log
    And <work> of the job bad-1 raises an unexpected error
    When the jobs bad-1 to bad-1 of 1 items are accepted for it
    And job job-1 of 2 items is accepted for it
    Then the 2 items of job-1 are completed within 5 seconds
    And the log names bad-1 as failed, at most 5 times in 3 seconds

    Examples:
      | work                 |
      | hold                 |
      | give_up_overdue      |
      | startable_items      |
      | drop_stored          |
      | unstored_results     |

  Scenario: a runner all of whose jobs fail counts as failing itself
    Given a host that works on jobs and keeps its log
    And hold of the jobs bad-1 to bad-3 raises an unexpected error
    When the jobs bad-1 to bad-3 of 1 items are accepted for it
    Then the log names Tick of job-runner as failing again and again

  Scenario: an item whose end of run could not be recorded runs again
    Given a host that works on jobs and keeps its log
    And the first completed item of a job raises an unexpected error
    When job job-1 of 2 items is accepted for it
    Then the 2 items of job-1 are completed
    And the log names job-1 as failed

  # Guards against a host that keeps jobs which it cannot work on any more.
  Scenario: a host whose runner always fails ends, and another lists its items
    Given 2 daemons whose runners can fail with 2 engines
    And the engines take 1.5 seconds for a stream
    When a job of 4 items is submitted
    And the runner of the host that works on the job fails from now on
    Then that host ends by itself with status 70 within 40 seconds
    And its log names job-runner as the part that failed
    And the other host lists all 4 results once

  Scenario Outline: a host with a failing part, <alive> hosts alive and <left> left
    Given a watch over duties with a failing part
    And <alive> other hosts are alive and <left> have left
    When the watch checks the duties 3 times
    Then the host ends <times> times and this is logged once

    Examples:
      | alive | left | times |
      | 2     | 1    | 1     |
      | 1     | 1    | 0     |
      | 0     | 0    | 0     |

  Scenario: a duty whose actor has ended counts as failed
    Given a sound membership actor in its service
    Then the service has no failed part
    When the actor is ended
    Then the service names its failed part
