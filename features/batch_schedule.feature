Feature: Order of batch jobs, chunk sizes and forecasts of late jobs

  Scenario Outline: the chunk size depends on the size of the job and its due time
    Given a batch job of <items> items due in <due> seconds
    When it is divided for <hosts> hosts that complete 8 items a second each
    Then its chunks hold <chunk> items

    Examples:
      | items | due   | hosts | chunk |
      | 51000 | 86400 | 20    | 500   |
      | 200   | 10    | 4     | 25    |
      | 200   | 60    | 4     | 120   |
      | 51000 | 60    | 4     | 500   |
      | 10    | 0     | 4     | 8     |

  Scenario: jobs at risk come first and owners take turns
    Given batch demands in a shuffled order
    When the batch demands are ordered
    Then the batch order is "cancelled, risky, b-early, a-early, b-late, a-late"

  Scenario: late jobs are forecast and a risk depends on the policy
    Given two batch jobs of one entry with 100 and 300 items left
    Then with tail weight 0.9 the batch prospects are "in_time, in_time"
    And with tail weight 0.1 the batch prospects are "in_time, at_risk"
    And at a tenth of the rate the batch prospects are "late, late"

  Scenario: a job is reported as late before its due time
    Given batch hosts "entry-1" on one platform, 100 ms an item
    When a batch of 400 items due in 2 seconds is submitted to "entry-1"
    Then the batch is reported as late before it is due

  Scenario: items that have not begun when the job expires end as expired
    Given batch hosts "entry-1" on one platform, 50 ms an item
    When a batch of 2000 items expiring in 1 seconds is submitted to "entry-1"
    And the batch has ended
    Then batch outcomes are "completed" and "expired"
