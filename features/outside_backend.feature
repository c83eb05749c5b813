Feature: Backend server stand-ins and the adapter to them

  Scenario Outline: a <shape> completion has the expected text
    Given an engine stand-in
    When a <shape> completion of 12 tokens is requested from the engine
    Then the engine's answer is complete with 12 tokens

    Examples:
      | shape        |
      | streamed     |
      | non-streamed |

  Scenario Outline: a <shape> <path> is resumed after the tokens already sent
    Given an engine stand-in
    When a <shape> <path> is resumed after 5 of 16 tokens
    Then the resumed answer has only the 11 missing tokens

    Examples:
      | shape        | path       |
      | streamed     | chat       |
      | non-streamed | chat       |
      | streamed     | completion |
      | non-streamed | completion |

  Scenario Outline: the engine's fault <fault> on a <shape> completion
    Given an engine stand-in
    And the engine's faults are <fault>
    When a <shape> completion of 6 tokens is requested from the engine
    Then the call fails as <end> and <proof> that it did not run

    Examples:
      | fault               | shape        | end     | proof          |
      | {"reset": true}     | streamed     | broken  | has no proof   |
      | {"reset": true}     | non-streamed | broken  | has no proof   |
      | {"silent": true}    | streamed     | silent  | has no proof   |
      | {"silent": true}    | non-streamed | silent  | has no proof   |
      | {"refuse": true}    | streamed     | refused | has the proof  |
      | {"refuse": true}    | non-streamed | refused | has the proof  |
      | {"silent_after": 3} | streamed     | silent  | has no proof   |
      | {"silent_after": 3} | non-streamed | silent  | has no proof   |
      | {"broken_after": 3} | streamed     | broken  | has no proof   |
      | {"broken_after": 3} | non-streamed | broken  | has no proof   |
      | {"crossed": true}   | streamed     | crossed | has no proof   |
      | {"crossed": true}   | non-streamed | crossed | has no proof   |

  Scenario: a closed engine proves that the request did not run
    Given an engine stand-in
    And the engine is closed
    When a non-streamed completion of 6 tokens is requested from the engine
    Then the call fails as not_reached and has the proof that it did not run

  Scenario: an answer that ends early lacks its end mark
    Given an engine stand-in
    And the engine's faults are {"ended_after": 3}
    When a streamed completion of 6 tokens is requested from the engine
    Then the engine's answer has 3 tokens and no end mark

  Scenario: a crossed stream shows the id of another request
    Given an engine stand-in
    And the engine's faults are {"crossed_after": 3}
    When a streamed completion of 6 tokens is requested from the engine
    Then events 3 to 5 of the answer carry another request's id

  Scenario: a duplicated answer is never used for the next request
    Given an engine stand-in
    And the engine's faults are {"doubled": true}
    When 5 non-streamed completions are requested from the engine in turn
    Then each outcome is the request's own answer or a fault

  Scenario: faults can be limited to a number of requests
    Given an engine stand-in
    And the engine's faults are {"error": 500, "limit": 2}
    When 4 non-streamed completions are requested from the engine in turn
    Then their statuses are 500, 500, 200, 200

  Scenario Outline: a cancelled <shape> completion frees its slot
    Given an engine stand-in
    When a <shape> completion of 100000 tokens is cancelled
    Then the call fails as broken and has no proof that it did not run
    And the engine has no request left
    And the engine's history ends with "cancelled"

    Examples:
      | shape        |
      | streamed     |
      | non-streamed |

  Scenario: requests beyond the slots wait in the order of arrival
    Given an engine stand-in with 2 slots
    When 6 completions of 4 tokens are sent to the engine one after another
    Then they end in the order in which they were sent

  Scenario: the prefix of a repeated prompt is cached
    Given an engine stand-in with 2 slots
    When a long prompt is sent to the engine twice
    Then the second time its prefix is cached
    And its cache events report the cached blocks with a delay
    When the engine's cache is exported to another engine
    Then the prefix is cached there

  Scenario Outline: items that always fail: <marker>
    Given an engine stand-in
    When a completion marked "<marker>" is requested from the engine 3 times
    Then each time it ends as <end>

    Examples:
      | marker | end    |
      | reject | 400    |
      | crash  | broken |

  Scenario: the load report lags behind
    Given an engine stand-in with a load lag of 0.4 seconds
    When a streamed completion runs on the engine
    Then the engine's load report shows it with a lag and an age

  Scenario: an order with an outdated fencing token is refused
    Given an engine stand-in
    When the engine is ordered to load "puddles" with fencing token 7
    And the engine is ordered to load "old" with fencing token 6
    Then the engine's orders ended as 202, 409
    And the engine eventually serves only "puddles"

  Scenario: some engines ignore fencing tokens
    Given an engine stand-in that ignores fencing
    When the engine is ordered to load "puddles" with fencing token 7
    And the engine is ordered to load "old" with fencing token 6
    Then the engine's orders ended as 202, 202

  Scenario: a draining engine finishes its requests and refuses new ones
    Given an engine stand-in
    When a streamed completion runs on the engine
    And the engine is ordered to drain with fencing token 1
    Then the engine refuses new completions with proof that they did not run
    And the running completion is complete
    And the engine reports that it is leaving

  Scenario: weights load at the rate of the weight store
    Given a weight store of 400000 bytes a second
    And an engine stand-in that loads from it
    When the engine loads a model of 100000 bytes
    Then loading took at least 0.2 seconds

  Scenario Outline: a host is cut off by <cut> while other hosts are served
    Given an engine stand-in
    When a streamed completion of 60 tokens is requested by each of 2 hosts
    And the engine cuts the first host off by <cut> meanwhile
    Then the first host's call fails as <end>, the other's is complete

    Examples:
      | cut    | end    |
      | silent | silent |
      | reset  | broken |

  Scenario: a duplicated stream continues after its end mark
    Given an engine stand-in
    And the engine's faults are {"doubled": true}
    When a streamed completion of 4 tokens is requested from the engine
    Then the text before the end mark is complete and is repeated after it

  Scenario Outline: <fault> delays answers
    Given an engine stand-in
    And the engine's faults are <fault>
    When a non-streamed completion of 10 tokens is requested from the engine
    Then the engine's answer is complete with 10 tokens
    And it took at least 0.2 seconds

    Examples:
      | fault            |
      | {"delay_s": 0.2} |
      | {"slow": 6}      |

  Scenario: a service also counts runs whose answer was lost
    Given a service stand-in
    And the service's faults are {"broken_after": 1, "limit": 1}
    When "/reservations" is called twice on the service
    Then the first call fails as broken
    And the second answer reports run number 2

  Scenario: a connection that was idle for too long is not reused
    Given a service stand-in
    And an adapter that keeps idle connections for 0.2 seconds
    When the service is called twice in a row and once after the idle time
    Then the calls used 2 connections
