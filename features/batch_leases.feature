Feature: What a batch host may do when it cannot be sure

  Scenario: a host that hears of no cancel starts nothing after the lease
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When watches of "entry-1" fall silent
    And the simulated batch is cancelled at "entry-2"
    And 16 seconds pass for the batch fleet
    Then "entry-1" starts no batch item

  Scenario: a host whose watches show nothing starts nothing after the lease
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When watches of "entry-1" show no event
    And the simulated batch is cancelled at "entry-2"
    And 16 seconds pass for the batch fleet
    Then "entry-1" starts no batch item

  Scenario: a host whose lease is not renewed starts nothing after it
    Given a simulated batch fleet with a job of 40 items at "entry-1"
    When writes of "entry-1" are cut off
    And 13 seconds pass for the batch fleet
    Then "entry-1" starts no batch item
    When writes of "entry-1" are mended
    Then "entry-1" starts batch items again

  Scenario: a paused host that wakes late changes nothing
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When "entry-1" is paused and its batch is completed by others
    And "entry-1" wakes and its batch items end as failed
    Then each batch item was read once as completed

  Scenario: a chunk whose input could not be read is begun later
    Given a simulated batch fleet
    When "entry-1" is cut off between taking a batch chunk and its input
    Then the simulated batch ends at "entry-1" alone

  Scenario: a cancel after the last result ends in one story
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When all items are done and the end is not recorded
    And the simulated batch is cancelled at "entry-2"
    Then the simulated batch tells one story for good

  Scenario: an item that ends its hosts fails and takes no neighbour with it
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When every host that runs item "job/3" dies
    Then item "job/3" failed and the other batch items completed

  Scenario: a new host may reuse a name at once and takes over by the lease
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When "entry-1" dies with its batch items in flight
    Then the simulated batch ends on the new hosts

  Scenario: ended jobs are archived, kept for their time and then deleted
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When the simulated batch ends and 60 seconds pass
    Then the simulated batch is archived and read as before
    And resending the simulated batch gives the archived job
    When 8 days pass for the batch fleet
    Then the platform holds no object of the simulated batch

  Scenario: a submission whose host died is completed by a resend
    Given a simulated batch fleet
    When "entry-1" dies before it commits a batch of 12 items
    Then nobody finds the simulated batch
    When the simulated batch of 12 items is sent again to "entry-2"
    Then the simulated batch ends at "entry-2" alone

  Scenario: a submission whose host died is cleaned
    Given a simulated batch fleet
    When "entry-1" dies before it commits a batch of 12 items
    And 1000 seconds pass for the batch fleet
    Then the platform holds no object of the simulated batch

  Scenario: an archived job outlives its resends
    Given a simulated batch fleet with a job of 5 items at "entry-1"
    When the simulated batch ends and 60 seconds pass
    And the simulated batch of 5 items is sent again to "entry-2"
    And 100 seconds pass for the batch fleet
    Then the simulated batch is archived and read as before

  Scenario: results wait on the data folder and a restarted host writes them
    Given a simulated batch fleet where "entry-1" has a data folder
    When a batch of 5 non-idempotent items runs at "entry-1" during an outage
    And "entry-1" restarts with its data folder and the platform is back
    Then the simulated batch completed with each item run once

  Scenario: items whose start was recorded and that are handed over still run
    Given a simulated batch fleet
    When "entry-1" records starts of 5 non-idempotent items and hands over
    Then the simulated batch completed with each item run once
