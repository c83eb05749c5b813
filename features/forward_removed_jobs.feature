Feature: Removing jobs that have ended

  # Guards against hosts that run an ended job again while it is removed.
  Scenario Outline: a job stays ended at a host that hears of the removal of <kind> late
    Given 3 hosts, of which host-0 owns a job with results
    And the job is <end> at host-1
    When it expires and host-0 hears of <kind> 40 seconds late
    Then no host has taken it for open
    And nothing of it is left on the platform

    Examples:
      | kind     | end       |
      | jobs     | cancelled |
      | jobs     | finished  |
      | progress | cancelled |
      | progress | finished  |

  # Guards against removals that an ended host leaves half done.
  Scenario Outline: a job stays ended and goes though each host that removes it <fault>
    Given 3 hosts, of which host-0 owns a job with results
    And the job is cancelled at host-1
    When it expires while each host that removes it <fault>
    Then no host has taken it for open
    And nothing of it is left on the platform

    Examples:
      | fault                                |
      | ends after any number of calls       |
      | loses the answer to every write      |
      | loses the answer to every other call |

  # Guards against a removal by an older release that ends before its last step.
  Scenario: a job whose progress alone was deleted stays ended and goes
    Given 3 hosts, of which host-0 owns a job with results
    And the job is cancelled at host-1
    When its progress alone is deleted
    And the hosts go on for 40 seconds
    Then no host has taken it for open
    And nothing of it is left on the platform

  # Guards against objects that nothing removes any more.
  Scenario Outline: <left> written after the removal of a job goes
    Given 3 hosts, of which host-0 owns a job with results
    And the job is cancelled at host-1
    When the job alone is deleted and host-2 writes <left> after that
    And the hosts go on for 40 seconds
    Then no host has taken it for open
    And nothing of it is left on the platform

    Examples:
      | left           |
      | a cancellation |
      | a claim        |

  Scenario: a job that a host has read just before its removal is forgotten
    Given 3 hosts, of which host-0 owns a job with results
    And the job is cancelled at host-1
    When host-2 reads the job, which is removed before its mirror shows it
    And the hosts go on for 40 seconds
    Then host-2 does not know the job

  # Guards against the removal of jobs that are known only in part.
  Scenario: an open job of which a host knows only the progress stays
    Given 3 hosts, of which host-0 owns a job with results
    And host-1 and host-2 do not hear of jobs
    When host-1 claims the job
    And the hosts go on for 40 seconds
    Then the job with its progress and results is on the platform

  Scenario: an open job whose progress a host takes for deleted is shown again
    Given 3 hosts, of which host-0 owns a job with results
    When host-1 claims the job
    And host-2 takes its progress for deleted
    And the hosts go on for 40 seconds
    Then the job with its progress and results is on the platform
    And host-2 knows the job again

  # Guards against hosts that read the jobs before, and their progress after a removal.
  Scenario: no item runs of a job that was removed while a host started
    Given a host that works on jobs, with two servers
    When it knows a job of 3 items that is no longer on the platform
    Then no item of it has run after 1 second
    And the job is unknown to the host

  # Guards against results that are stored while their job is removed.
  Scenario: results that a host writes after the removal of a job go
    Given a host that works on a job of 3 items, which is removed
    When the host writes a result of it after that
    And it has heard of the removal 16 seconds ago
    Then the result is deleted
