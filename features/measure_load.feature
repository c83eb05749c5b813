Feature: The load generator reports latency and failures correctly

  Scenario: arrival times depend only on the seed
    Given a bursty load of 20 seconds
    When its arrival times are drawn twice with seed 7 and once with seed 8
    Then the first two are equal and the third differs
    And the bursts contain the share of arrivals that follows from the rates

  Scenario: latency counts from the intended arrival
    Given a streaming server that takes 0.2 seconds for its first token
    When 5 requests arrive at once and at most one may be in flight
    Then the last first-token latency is at least 1.0 seconds

  Scenario Outline: a stream without an end marker counts as failed
    Given a streaming server that ends with <ending>
    When one measured request is sent
    Then the measured ending is "<expected>"

    Examples:
      | ending        | expected |
      | an end marker | whole    |
      | nothing       | failed   |
      | an error      | failed   |

  Scenario: a request to a closed port counts as failed
    When one measured request is sent to a closed port
    Then the measured ending is "failed"

  Scenario: a figure without a value does not meet its target
    When a figure without a value is reported against a target
    Then the reported figure is null and does not meet the target

  Scenario: a report that claims to meet a missed target is refused
    When a report claims that 12 meets the target "<= 10"
    Then reading the report fails

  Scenario: a fitted line recovers slope and intercept
    Given samples of a line of slope 3 and intercept 10 with noise 0.5
    When a line is fitted
    Then the slope is 3 within four standard errors
    And fewer than four sizes are refused

  Scenario: a plot is written in the format of its suffix
    When a plot is drawn to an SVG file
    Then the plot file holds an SVG document
    And a plot with another suffix is refused
