Feature: Requests that are forwarded unchanged

  Scenario Outline: a <kind> request whose first attempt ends as <fault>
    Given a <kind> route and two servers
    And the first attempt ends as <fault>
    When a request is forwarded
    Then it ends with <end> after <attempts> attempts

    Examples:
      | kind             | fault                   | end            | attempts |
      | idempotent       | broken                  | an answer      | 2        |
      | non_idempotent   | broken                  | backend_failed | 1        |
      | non_idempotent   | silent                  | backend_silent | 1        |
      | non_idempotent   | refused and not run     | an answer      | 2        |
      | streamed         | refused and not run     | an answer      | 2        |
      | streamed         | broken                  | backend_failed | 1        |
      | resumable stream | broken                  | an answer      | 2        |
      | resumable stream | crossed                 | an answer      | 2        |
      | non_idempotent   | not_reached and not run | an answer      | 2        |

  Scenario Outline: a request whose attempts end as <first> and <second>
    Given a resumable stream route and two servers
    And the first attempt ends as <first>
    And the second attempt ends as <second>
    When a request is forwarded
    Then it ends with <end> after 2 attempts

    Examples:
      | first               | second              | end             |
      | refused and not run | refused and not run | overloaded      |
      | broken              | refused and not run | outcome_unknown |
      | refused and not run | broken              | backend_failed  |

  Scenario: a refusal has a retry time
    Given a streamed route and two servers
    And the first attempt ends as refused and not run
    And the second attempt ends as refused and not run
    When a request is forwarded
    Then the error has a retry time

  Scenario: a request has no more attempts than its route allows
    Given a resumable stream route and three servers
    And the first attempt ends as broken
    And the second attempt ends as broken
    When a request is forwarded
    Then it ends with backend_failed after 2 attempts

  Scenario Outline: a stream that breaks after <sent> events resumes at another server
    Given a resumable stream route and two servers
    And the first server breaks off after <sent> events
    When a request is forwarded
    Then the caller gets every event once
    And the second server was asked to resume after event <sent>

    Examples:
      | sent |
      | 0    |
      | 1    |
      | 5    |

  # Guards against the events before a deadline that count as a whole stream.
  Scenario Outline: a stream that its server ends in order <when> is <counted>
    Given a streamed route and two servers
    And the first server ends its stream in order after 3 events
    When a request is forwarded and its stream ends <when>
    Then the caller has got 3 events and the answer is <counted>

    Examples:
      | when                       | counted |
      | at its deadline            | broken  |
      | 0.5 s before its deadline  | whole   |
      | 0.05 s after its deadline  | broken  |

  Scenario: a stream that cannot be resumed is aborted, not ended
    Given a streamed route and two servers
    And the first server breaks off after 2 events
    When a request is forwarded
    Then the answer breaks off after 2 events

  Scenario Outline: a stream with <fault> is replaced by one of another server
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

  Scenario: an error answer of a server is passed on unchanged
    Given a streamed route and two servers
    And the first server answers 500 with a signature
    When a request is forwarded
    Then the caller gets that answer

  Scenario Outline: an error answer to a <kind> request is retried at another server
    Given a <kind> route and two servers
    And the first server answers 500 with a signature
    When a request is forwarded
    Then it ends with an answer after 2 attempts

    Examples:
      | kind             |
      | idempotent       |
      | resumable stream |

  Scenario: an error answer to the last allowed attempt is passed on unchanged
    Given a resumable stream route and three servers
    And the first attempt ends as broken
    And the first server answers 500 with a signature
    When a request is forwarded
    Then the caller gets that answer

  Scenario: the call is cancelled when its caller disconnects mid-stream
    Given a streamed route and two servers
    When a request is forwarded and its caller disconnects after 2 events
    Then the call to the server is cancelled
    And nothing is in flight

  Scenario: a server that is leaving gets no requests
    Given a streamed route and two servers
    And the first server is leaving
    When 20 requests are forwarded
    Then all of them went to the second server

  Scenario: a request without any server is refused at once
    Given a streamed route and no servers
    When a request is forwarded
    Then it ends with no_backend_server after 0 attempts

  Scenario Outline: the first byte timeouts of a <kind> request after <fault>, <servers> servers
    Given a <kind> route and <servers> servers
    And the first attempt ends as <fault>
    When a request is forwarded
    Then its attempts had first byte timeouts of <waits> seconds

    Examples:
      | kind             | fault               | servers | waits         |
      | resumable stream | broken              | two     | 0.15 and 5    |
      | resumable stream | broken              | three   | 0.15 and 5    |
      | resumable stream | refused and not run | three   | 0.15 and 0.15 |
      | resumable stream | refused and not run | two     | 0.15 and 5    |
      | streamed         | refused and not run | two     | 5 and 5       |
      | non_idempotent   | refused and not run | two     | 5 and 5       |

  Scenario: a server that times out once still gets requests
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

  Scenario: a refused caller gets a retry time at which a slot is free
    Given a streamed route and two servers
    And requests have taken 1 second each
    And another host has 24 requests at each server
    When a request is forwarded
    Then the error has a retry time of 1.91 to 8.04 seconds
    And nothing is in flight

  Scenario: a request is sent to the incarnation that was chosen, with the time left
    Given a streamed route and two servers
    When a request is forwarded
    Then the call has the server, the unchanged path and the time left
