Feature: Requests that are forwarded unchanged

  Scenario Outline: a <kind> request whose first attempt ends as <fault>
    Given a <kind> route and two servers
    And the first attempt ends as <fault>
    When a request is forwarded
    Then it ends with <end> after <attempts> attempts

    Examples:
      | kind             | fault                    | end             | attempts |
      | idempotent       | broken                   | an answer       | 2        |
      | non_idempotent   | broken                   | backend_failed  | 1        |
      | non_idempotent   | silent                   | backend_silent  | 1        |
      | non_idempotent   | refused with proof       | an answer       | 2        |
      | streamed         | refused with proof       | an answer       | 2        |
      | streamed         | broken                   | backend_failed  | 1        |
      | resumable stream | broken                   | an answer       | 2        |
      | resumable stream | crossed                  | an answer       | 2        |
      | non_idempotent   | not_reached with proof   | an answer       | 2        |

  Scenario Outline: a refusal promises that nothing ran, after <first> and <second>
    Given a resumable stream route and two servers
    And the first attempt ends as <first>
    And the second attempt ends as <second>
    When a request is forwarded
    Then it ends with <end> after 2 attempts

    Examples:
      | first              | second             | end             |
      | refused with proof | refused with proof | overloaded      |
      | broken             | refused with proof | outcome_unknown |
      | refused with proof | broken             | backend_failed  |

  Scenario: a refusal tells the caller when to come back
    Given a streamed route and two servers
    And the first attempt ends as refused with proof
    And the second attempt ends as refused with proof
    When a request is forwarded
    Then the error says when to come back

  Scenario: no more servers may run a request than its route allows
    Given a resumable stream route and three servers
    And the first attempt ends as broken
    And the second attempt ends as broken
    When a request is forwarded
    Then it ends with backend_failed after 2 attempts

  Scenario Outline: a stream that breaks after <sent> events goes on elsewhere
    Given a resumable stream route and two servers
    And the first server breaks off after <sent> events
    When a request is forwarded
    Then the caller gets every event once
    And the second server was asked to go on after event <sent>

    Examples:
      | sent |
      | 0    |
      | 1    |
      | 5    |

  Scenario: a stream that cannot be resumed is cut, not ended
    Given a streamed route and two servers
    And the first server breaks off after 2 events
    When a request is forwarded
    Then the answer breaks off after 2 events

  Scenario Outline: a stream with <fault> is not passed on as it is
    Given a resumable stream route and two servers
    And the first server sends <fault>
    When a request is forwarded
    Then the caller gets every event once

    Examples:
      | fault                  |
      | an event twice         |
      | a gap                  |
      | half of its last event |
      | no event               |

  Scenario: a failure of the server itself is passed on unchanged
    Given a streamed route and two servers
    And the first server answers 500 with a signature
    When a request is forwarded
    Then the caller gets that answer

  Scenario Outline: a failure of one server is answered by another on <kind>
    Given a <kind> route and two servers
    And the first server answers 500 with a signature
    When a request is forwarded
    Then it ends with an answer after 2 attempts

    Examples:
      | kind             |
      | idempotent       |
      | resumable stream |

  Scenario: a failure of the last server allowed is passed on unchanged
    Given a resumable stream route and three servers
    And the first attempt ends as broken
    And the first server answers 500 with a signature
    When a request is forwarded
    Then the caller gets that answer

  Scenario: a caller that leaves in mid-stream frees the server
    Given a streamed route and two servers
    When a request is forwarded and its caller leaves after 2 events
    Then the call to the server is cancelled
    And nothing is in flight

  Scenario: a server that is leaving gets nothing
    Given a streamed route and two servers
    And the first server is leaving
    When 20 requests are forwarded
    Then all of them went to the second server

  Scenario: a request without any server is refused at once
    Given a streamed route and no servers
    When a request is forwarded
    Then it ends with no_backend_server after 0 attempts

  Scenario Outline: a <kind> request waits for its first event as long as is useful
    Given a <kind> route and two servers
    And the first attempt ends as <fault>
    When a request is forwarded
    Then its attempts waited for <waits> seconds

    Examples:
      | kind             | fault              | waits      |
      | resumable stream | broken             | 0.15 and 5 |
      | resumable stream | refused with proof | 0.15 and 0.15 |
      | streamed         | refused with proof | 5 and 5    |
      | non_idempotent   | refused with proof | 5 and 5    |

  Scenario: a server that is slow once is not left out
    Given a resumable stream route and two servers
    And the first attempt ends as silent
    When 20 requests are forwarded
    Then both servers got some of them

  Scenario Outline: a request behind <ahead> others at each server
    Given a streamed route and two servers
    And requests have taken 1 second each
    And another host has <ahead> requests at each server
    When a request is forwarded
    Then it ends with <end> after <attempts> attempts

    Examples:
      | ahead | end        | attempts |
      | 8     | an answer  | 1        |
      | 9     | overloaded | 0        |
      | 24    | overloaded | 0        |

  Scenario: a refused caller comes back when there is room
    Given a streamed route and two servers
    And requests have taken 1 second each
    And another host has 24 requests at each server
    When a request is forwarded
    Then the error says to come back after 1.91 to 8.04 seconds
    And nothing is in flight

  Scenario: a request is sent to the incarnation that was chosen, with the time left
    Given a streamed route and two servers
    When a request is forwarded
    Then the call names the server, the path as it came and the time left
