Feature: Leases, takeover and cleanup of batch work on failing hosts

  Scenario: a host that misses a cancellation starts no item after its lease
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When watches of "entry-1" fail
    And the simulated batch is cancelled at "entry-2"
    And 16 seconds pass for the batch fleet
    Then "entry-1" starts no batch item

  Scenario: a host whose watches return no events starts no item after its lease
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When watches of "entry-1" return no events
    And the simulated batch is cancelled at "entry-2"
    And 16 seconds pass for the batch fleet
    Then "entry-1" starts no batch item

  Scenario: a host whose lease is not renewed starts no item after it expires
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When writes of "entry-1" are cut off
    And 13 seconds pass for the batch fleet
    Then "entry-1" starts no batch item
    When writes of "entry-1" work again
    Then "entry-1" starts batch items again

  Scenario: a paused host that resumes late changes no outcome
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When "entry-1" is paused and its batch is completed by others
    And "entry-1" resumes and its batch items end as failed
    Then each batch item was read once as completed

  Scenario: a chunk whose input could not be read is started later
    Given a simulated batch fleet
    When "entry-1" is cut off between claiming a batch chunk and reading its input
    Then the simulated batch ends at "entry-1" alone

  Scenario: a cancel after the last result leads to one final state
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When all items are done and the job is not marked as finished
    And the simulated batch is cancelled at "entry-2"
    Then the simulated batch keeps the state that the cancel returned

  Scenario: an item that crashes its hosts fails and the others complete
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When every host that runs item "job/3" dies
    Then item "job/3" failed and the other batch items completed

  Scenario: a new host may reuse a name and takes over after the lease
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When "entry-1" dies with its batch items in flight
    Then the simulated batch ends on the new hosts

  Scenario: ended jobs are archived and deleted after their retention
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When the simulated batch ends and 60 seconds pass
    Then the simulated batch is archived and read as before
    And resending the simulated batch returns the archived job
    When 8 days pass for the batch fleet
    Then the platform holds no object of the simulated batch

  Scenario: a submission whose host died is completed by a resend
    Given a simulated batch fleet
    When "entry-1" dies before it commits a batch of 12 items
    Then no host finds the simulated batch
    When the simulated batch of 12 items is sent again to "entry-2"
    Then the simulated batch ends at "entry-2" alone

  Scenario: a submission whose host died is deleted
    Given a simulated batch fleet
    When "entry-1" dies before it commits a batch of 12 items
    And 1000 seconds pass for the batch fleet
    Then the platform holds no object of the simulated batch

  Scenario: resends leave an archived job unchanged
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When the simulated batch ends and 60 seconds pass
    And the simulated batch of 5 items is sent again to "entry-2"
    And 100 seconds pass for the batch fleet
    Then the simulated batch is archived and read as before

  Scenario: results are spooled and a restarted host writes them
    Given a simulated batch fleet where "entry-1" has a data folder
    When a batch of 5 non-idempotent items runs at "entry-1" during an outage
    And "entry-1" restarts with its data folder and the platform is back
    Then the simulated batch completed with each item run once

  Scenario: items that are handed over after their start was recorded still run
    Given a simulated batch fleet
    When "entry-1" records starts of 5 non-idempotent items and hands over
    Then the simulated batch completed with each item run once
