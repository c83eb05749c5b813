Feature: Admission control and batch order under overload

  Scenario Outline: a load of <load>
    Given a load of <load> on 5 servers behind 10 hosts
    When it is simulated with waits of up to 1.5 seconds and with waits bounded by the objective
    Then at least <times> times as many callers are answered in time
    And at least <part> of the servable requests are served

    Examples:
      | load                         | times | part |
      | 0.9 of capacity              | 1     | 0.95 |
      | 1.2 times capacity           | 3     | 0.9  |
      | 2 times capacity             | 5     | 0.9  |
      | peaks of 1.84 times capacity | 2     | 0.9  |
      | peaks in close succession    | 1.5   | 0.9  |
      | a burst of 3 times capacity  | 1.5   | 0.9  |
      | two of five servers lost     | 1.3   | 0.9  |

  Scenario: no caller is refused while servers have capacity
    Given a load of 0.5 of capacity on 5 servers behind 10 hosts
    When it is simulated with waits of up to 1.5 seconds and with waits bounded by the objective
    Then no caller is refused

  Scenario: hosts that have just started queue no wave of requests
    Given a load of a wave at the start on 5 servers behind 10 hosts
    When it is simulated with waits of up to 1.5 seconds and with waits bounded by the objective
    Then at least 0.9 of the servable requests are answered in time

  Scenario: a host whose first requests all queue estimates the wait by their age
    Given a host with 2 requests that have queued for 0.5 seconds at a full server
    Then the estimated wait of another request is at least 0.5 seconds

  Scenario: the retries of refused callers are spread out
    Given a load of a burst of 3 times capacity on 5 servers behind 10 hosts
    When it is simulated with waits of up to 1.5 seconds and with waits bounded by the objective
    Then at most 15 callers get a retry time in the same tenth of a second

  Scenario Outline: the longest wait with <left> of 5 seconds left
    Given a route with an objective of 0.3 seconds
    Then a request with <left> seconds left may wait for <wait> seconds

    Examples:
      | left | wait |
      | 5    | 0.21 |
      | 3    | 0.21 |
      | 0.1  | 0.1  |

  Scenario: jobs complete one after the other, in the order of their due times
    Given 12 hosts with a job of 10 items of 5 seconds each, one job a second, on 3 servers
    When the jobs are simulated with and without the due order
    Then the slowest job takes at most 0.85 of its time without the due order
    And the jobs end in the order in which they are due
    And the last job ends no later than without the due order
    And no server holds more items than its slots
