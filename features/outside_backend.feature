Feature: Backend server stand-ins and the adapter to them

  Scenario Outline: a <shape> completion is whole and says what it has to
    Given an engine stand-in
    When a <shape> completion of 12 tokens is asked of the engine
    Then the engine's answer is whole with 12 tokens

    Examples:
      | shape    |
      | streamed |
      | whole    |

  Scenario Outline: a <shape> <path> goes on from the tokens already sent
    Given an engine stand-in
    When a <shape> <path> is resumed after 5 of 16 tokens
    Then the resumed answer has just the 11 tokens that were missing

    Examples:
      | shape    | path       |
      | streamed | chat       |
      | whole    | chat       |
      | streamed | completion |
      | whole    | completion |

  Scenario Outline: the engine's fault <fault> on a <shape> completion
    Given an engine stand-in
    And the engine's faults are <fault>
    When a <shape> completion of 6 tokens is asked of the engine
    Then the call fails as <end> and <proof> that it did not run

    Examples:
      | fault               | shape    | end     | proof          |
      | {"reset": true}     | streamed | broken  | has no proof   |
      | {"reset": true}     | whole    | broken  | has no proof   |
      | {"silent": true}    | streamed | silent  | has no proof   |
      | {"silent": true}    | whole    | silent  | has no proof   |
      | {"refuse": true}    | streamed | refused | has the proof  |
      | {"refuse": true}    | whole    | refused | has the proof  |
      | {"silent_after": 3} | streamed | silent  | has no proof   |
      | {"silent_after": 3} | whole    | silent  | has no proof   |
      | {"broken_after": 3} | streamed | broken  | has no proof   |
      | {"broken_after": 3} | whole    | broken  | has no proof   |
      | {"crossed": true}   | streamed | crossed | has no proof   |
      | {"crossed": true}   | whole    | crossed | has no proof   |

  Scenario: an engine that is gone is proof that nothing ran
    Given an engine stand-in
    And the engine is closed
    When a whole completion of 6 tokens is asked of the engine
    Then the call fails as not_reached and has the proof that it did not run

  Scenario: an answer that ends early lacks its end mark
    Given an engine stand-in
    And the engine's faults are {"ended_after": 3}
    When a streamed completion of 6 tokens is asked of the engine
    Then the engine's answer has 3 tokens and no end mark

  Scenario: an answer that crosses on the way shows another request's id
    Given an engine stand-in
    And the engine's faults are {"crossed_after": 3}
    When a streamed completion of 6 tokens is asked of the engine
    Then events 3 to 5 of the answer carry another request's id

  Scenario: a doubled answer is never taken for the next one
    Given an engine stand-in
    And the engine's faults are {"doubled": true}
    When 5 whole completions are asked of the engine in turn
    Then each of them is its own answer or a fault

  Scenario: faults can be limited to a number of requests
    Given an engine stand-in
    And the engine's faults are {"error": 500, "limit": 2}
    When 4 whole completions are asked of the engine in turn
    Then their statuses are 500, 500, 200, 200

  Scenario Outline: a cancelled <shape> completion frees its slot
    Given an engine stand-in
    When a <shape> completion of 100000 tokens is cancelled
    Then the call fails as broken and has no proof that it did not run
    And the engine has no request left
    And the engine's history ends with "cancelled"

    Examples:
      | shape    |
      | streamed |
      | whole    |

  Scenario: requests beyond the slots wait in the order of arrival
    Given an engine stand-in with 2 slots
    When 6 completions of 4 tokens are sent to the engine one after another
    Then they end in the order in which they were sent

  Scenario: a prompt that was read before costs less
    Given an engine stand-in with 2 slots
    When a long prompt is sent to the engine twice
    Then the second time its prefix is cached
    And its cache events tell of the blocks, late
    When the engine's cache is exported to another engine
    Then the prefix is cached there

  Scenario Outline: items that can never be done: <marker>
    Given an engine stand-in
    When a completion marked "<marker>" is asked of the engine 3 times
    Then each time it ends as <end>

    Examples:
      | marker | end    |
      | reject | 400    |
      | crash  | broken |

  Scenario: load is reported late
    Given an engine stand-in with a load lag of 0.4 seconds
    When a streamed completion runs on the engine
    Then the engine's load shows it late, with its age

  Scenario: an order with an old fencing number is refused
    Given an engine stand-in
    When the engine is ordered to load "puddles" with fencing number 7
    And the engine is ordered to load "old" with fencing number 6
    Then the engine's orders ended as 202, 409
    And the engine comes to serve only "puddles"

  Scenario: some engines ignore fencing numbers
    Given an engine stand-in that ignores fencing
    When the engine is ordered to load "puddles" with fencing number 7
    And the engine is ordered to load "old" with fencing number 6
    Then the engine's orders ended as 202, 202

  Scenario: a draining engine finishes what it has and takes nothing new
    Given an engine stand-in
    When a streamed completion runs on the engine
    And the engine is ordered to drain with fencing number 1
    Then new completions are refused by the engine with proof
    And the running completion ends whole
    And the engine reports that it is leaving

  Scenario: weights come at the rate of the weight store
    Given a weight store of 400000 bytes a second
    And an engine stand-in that loads from it
    When the engine loads a model of 100000 bytes
    Then the load took at least 0.2 seconds

  Scenario Outline: a host that is cut off by <cut> while others go on
    Given an engine stand-in
    When a streamed completion of 60 tokens is asked by each of 2 hosts
    And the engine cuts the first host off by <cut> meanwhile
    Then the first host's call fails as <end>, the other's is whole

    Examples:
      | cut    | end    |
      | silent | silent |
      | reset  | broken |

  Scenario: a doubled stream goes on after its end mark
    Given an engine stand-in
    And the engine's faults are {"doubled": true}
    When a streamed completion of 4 tokens is asked of the engine
    Then the text before the end mark is whole, and comes again after it

  Scenario Outline: <fault> makes answers late
    Given an engine stand-in
    And the engine's faults are <fault>
    When a whole completion of 10 tokens is asked of the engine
    Then the engine's answer is whole with 10 tokens
    And it took at least 0.2 seconds

    Examples:
      | fault            |
      | {"delay_s": 0.2} |
      | {"slow": 6}      |

  Scenario: a service counts what ran, also where the answer was lost
    Given a service stand-in
    And the service's faults are {"broken_after": 1, "limit": 1}
    When "/reservations" is called twice on the service
    Then the first call fails as broken
    And the second answer says that it is run 2

  Scenario: a connection that was idle too long is not used again
    Given a service stand-in
    And an adapter that keeps idle connections for 0.2 seconds
    When the service is called twice at once and once later
    Then the calls came over 2 connections
