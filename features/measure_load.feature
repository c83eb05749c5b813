Feature: The load tool tells the truth about latency

  Scenario: arrival times follow from the seed alone
    Given a bursty load of 20 seconds
    When its arrival times are drawn twice with seed 7 and once with seed 8
    Then the first two are equal and the third differs
    And the bursts hold the share of arrivals that their rates give

  Scenario: latency counts from the intended arrival
    Given a streaming server that takes 0.2 seconds for its first token
    When 5 requests arrive at once and one may be in flight
    Then the last first-token latency is at least 1.0 seconds

  Scenario Outline: a stream's ending is judged by its end mark
    Given a streaming server that ends with <ending>
    When one measured request is sent
    Then the measured ending is "<judged>"

    Examples:
      | ending      | judged |
      | an end mark | whole  |
      | nothing     | failed |
      | an error    | failed |

  Scenario: a server that is not there is a failure
    When one measured request is sent to a closed port
    Then the measured ending is "failed"

  Scenario: a figure that was not measured does not hold
    When a figure without a value is reported against a target
    Then the reported figure is null and does not hold

  Scenario: a report that claims too much is refused
    When a report claims that 12 holds against "<= 10"
    Then reading the report fails

  Scenario: a fitted line recovers its slope and its error
    Given samples of a line of slope 3 and intercept 10 with noise 0.5
    When a line is fitted
    Then the slope is 3 within four standard errors
    And fewer than four sizes are refused

  Scenario: a plot is written in the format of its suffix
    When a plot is drawn to an SVG file
    Then the plot file holds an SVG document
    And a plot with another suffix is refused
