Feature: Online answers are whole or an error

  Scenario Outline: an answer of a model is whole whatever the first engine does
    Given an engine whose first stream is <fault>
    When a caller asks for a <shape> chat
    Then the caller gets every word once and the end
    And the engines took <calls> calls

    Examples:
      | fault      | shape    | calls |
      | whole      | streamed | 1     |
      | broken     | streamed | 2     |
      | short      | streamed | 2     |
      | crossed    | streamed | 2     |
      | unfinished | streamed | 2     |
      | whole      | whole    | 1     |
      | broken     | whole    | 2     |
      | short      | whole    | 2     |

  Scenario: a stream that may not be repeated ends in an error and no end mark
    Given an engine whose first stream is broken
    When a caller asks for a streamed chat that is not idempotent
    Then the stream ends in an error that says "ran" and no end mark
    And the engines took 1 calls
