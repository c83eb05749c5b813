Feature: Batch jobs are accepted whole and complete exactly once

  Scenario: a batch job runs on two hosts and can be read on either
    Given batch hosts "entry-1, entry-2" on one platform
    When a batch of 1200 items is submitted to "entry-1"
    And the batch has ended
    Then every batch item completed exactly once in item order
    And every host reports the same batch

  Scenario: a resent batch submission returns the same job
    Given batch hosts "entry-1, entry-2" on one platform
    When a batch of 30 items is submitted to "entry-1"
    And the same batch is submitted to "entry-2"
    Then both batch submissions returned the same job
    And other batch content under the same key is refused with 409

  Scenario: a batch job with bad lines is refused as a whole with all findings
    Given batch hosts "entry-1" on one platform
    When a batch with four bad lines is submitted to "entry-1"
    Then the batch findings name lines 2, 3, 5, 6
    And the platform stores no object of a batch job

  Scenario: a batch job of another owner is not found
    Given batch hosts "entry-1" on one platform
    When a batch of 3 items is submitted to "entry-1"
    Then another owner finds neither the batch nor its results

  Scenario: a batch submission is refused while the platform is unavailable
    Given batch hosts "entry-1" on one platform
    When the batch platform is cut off from "entry-1"
    And a batch of 3 items is submitted to "entry-1"
    Then the batch submission was refused with 503 as not run

  Scenario: a cancelled batch job stops and its outcomes agree with its counts
    Given batch hosts "entry-1, entry-2" on one platform, 50 ms an item
    When a batch of 2000 items is submitted to "entry-1"
    And some batch items have completed
    And the batch is cancelled at "entry-2"
    And the batch has ended
    Then no further batch item starts
    And the batch ended as cancelled with an outcome for each item

  Scenario: items that cannot succeed end as failed and the others complete
    Given batch hosts "entry-1" on one platform
    And every run of batch item "note-7" fails
    And batch item "note-9" is rejected by its backend server
    When a batch of 100 items is submitted to "entry-1"
    And the batch has ended
    Then batch item "note-7" failed after 3 runs
    And batch item "note-9" failed after 1 runs
    And all other batch items completed

  Scenario: batch items that are preempted or not run are repeated
    Given batch hosts "entry-1" on one platform
    And batch item "note-3" is preempted 5 times
    And batch item "note-4" is not run 2 times
    When a batch of 10 items is submitted to "entry-1"
    And the batch has ended
    Then every batch item has the outcome "completed"

  Scenario: chunks of a lost batch host are taken over after its lease
    Given batch hosts "entry-1, entry-2" on one platform, 20 ms an item
    When a batch of 600 items is submitted to "entry-1"
    And some batch items have completed
    And batch host "entry-1" freezes and loses its link
    And the batch has ended
    Then every batch item has the outcome "completed"

  Scenario: non-idempotent batch items run at most once across a takeover
    Given batch hosts "entry-1, entry-2" on one platform, 20 ms an item
    When a batch of 200 non-idempotent items is submitted to "entry-1"
    And some batch items have begun
    And batch host "entry-1" freezes and loses its link
    And the batch has ended
    Then every batch item ran at most once
    And batch outcomes are "completed" and "unknown"

  Scenario: a batch host that stops as planned releases its chunks at once
    Given batch hosts "entry-1, entry-2" on one platform, 20 ms an item
    When a batch of 600 items is submitted to "entry-1"
    And some batch items have completed
    And batch host "entry-1" hands over
    Then batch host "entry-1" holds no chunk
    When the batch has ended
    Then every batch item completed exactly once in item order

  Scenario: the guarantees of batch jobs hold on hosts that fail
    When the batch state machine runs
    Then no batch guarantee was violated

  Scenario: an item that crashes its engine makes no other item fail
    Given batch hosts "entry-1" on one platform, 10 ms an item
    And batch item "note-13" breaks off every run on its engine
    When an urgent batch of 80 items is submitted to "entry-1"
    And the batch has ended
    Then batch item "note-13" failed after 3 runs
    And only batch item "note-13" failed
