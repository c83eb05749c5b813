Feature: API and storage of forwarded jobs

  Scenario: a job submitted again, at any host, is accepted once
    Given two hosts on one platform
    When a job is submitted at both hosts and again at the first
    Then every submission is accepted and the platform holds one job

  # Guards against an accepted job that is turned away as over the quota.
  Scenario: a job submitted again where nothing more may wait is accepted
    Given two hosts on one platform
    When a job is submitted at the first host
    And it is submitted again at the second host, whose quota it exceeds
    Then the platform holds one job
    And another job that exceeds the quota is limit_exceeded

  Scenario: an accepted job is visible at every host at once
    Given two hosts on one platform
    When a job is submitted at the first host
    Then the second host reads it with 3 items and no result
    And the second host returns the body of each item

  Scenario: an unknown job is not found, or unavailable without the platform
    Given two hosts on one platform
    Then an unknown job is not_found
    When the first host is cut off from the platform
    Then an unknown job is platform_unavailable

  Scenario: a submission without the platform is refused as not accepted
    Given two hosts on one platform
    When the first host is cut off from the platform
    And a job is submitted at the first host
    Then the submission ends with platform_unavailable
    And the platform holds no job

  Scenario: a submission that may have been accepted has an unknown outcome
    Given two hosts on one platform
    When the first host is cut off from the platform once its next job is written
    And a job is submitted at the first host
    Then the submission ends with outcome_unknown
    And the platform holds one job

  Scenario: a job cancelled at any host stays cancelled
    Given two hosts on one platform
    When a job is submitted at the first host
    And it is cancelled at both hosts
    Then both hosts see it cancelled

  Scenario: results that were read stay readable without the platform
    Given two hosts on one platform
    When a job is submitted at the first host
    And results of items 0 and 2 are listed at the first host
    And the first host is cut off from the platform
    Then the first host reads items 0 and 2 from position 0
    And reading position 2 at the first host is platform_unavailable

  Scenario: results can be read from any position
    Given two hosts on one platform
    When a job is submitted at the first host
    And results of items 2 and 0 are listed at the first host
    Then the second host reads items 2 and 0 from position 0
    And the second host reads item 0 from position 1

  Scenario: an item has one result, whichever hosts list one
    Given two hosts on one platform
    When a job is submitted at the first host
    And both hosts list results of all items in different orders
    Then each host reads each item once, in the same order

  Scenario: large results fill several pages in order
    Given two hosts on one platform
    When a job is submitted at the first host
    And results of 30,000 bytes of all items are listed one by one
    Then the platform holds 2 pages
    And each host reads each item once, in the same order

  Scenario: a result whose write takes effect late is listed once
    Given two hosts on one platform
    When a job is submitted at the first host
    And the first host lists item 1 with a delayed write
    And results of items 0 and 1 are listed at the second host
    And the delayed write takes effect
    Then each host reads the same results, item 1 once

  Scenario: each item has one result despite lost answers, restarts and conflicts
    Then the state machine of forwarded jobs finds no violation
