Feature: Backend servers that name a limit of requests from all hosts

  Scenario: all hosts together keep the limit that an engine names
    Given 3 daemons with 2 engines of which the first names a limit of 2 requests a second
    When each daemon gets 6 requests a second for 9 seconds
    Then the first engine gets no more in 4 seconds than its limit allows
    And all requests are served
    And the engine gets at least half of what its limit allows

  Scenario: batch items keep the limit too
    Given 2 daemons with 1 engines of which the first names a limit of 2 requests a second
    And the engines take 1 seconds for a stream
    When a job of 60 items is submitted and 9 seconds pass
    Then the first engine gets no more in 4 seconds than its limit allows
    When the engine names no limit any more
    Then all 60 results can be read

  Scenario: a new host and one that was killed keep the limit
    Given 2 daemons with 2 engines of which the first names a limit of 2 requests a second
    When each daemon gets 6 requests a second for 4 seconds
    And the first daemon is killed and started again
    And another daemon starts
    And each daemon gets 6 requests a second for 6 seconds
    Then the first engine gets no more in 4 seconds than its limit allows

  Scenario: requests beyond the limits of all engines are refused at once and may come back
    Given 2 daemons with 2 engines that name a limit of 2 requests a second
    When each daemon gets 6 requests a second for 9 seconds
    Then no engine gets more in 4 seconds than its limit allows
    And the other requests were refused with 503
    When the engine names no limit any more
    And each daemon gets 6 requests a second for 3 seconds
    Then all requests of the last second are served
