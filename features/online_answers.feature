Feature: Online answers are complete or end in an error

  Scenario Outline: a model's answer is complete whether or not its first stream fails
    Given an engine whose first stream is <fault>
    When a caller asks for a <shape> chat
    Then the caller receives every word once and the end mark
    And the engines received <calls> calls

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

  Scenario: a broken stream of a non-idempotent request ends in an error
    Given an engine whose first stream is broken
    When a caller asks for a streamed chat that is not idempotent
    Then the stream ends in an error with run "ran" and without an end mark
    And the engines received 1 calls
