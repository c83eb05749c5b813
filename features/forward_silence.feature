Feature: Backend servers that fall silent in the middle of an answer

  # Guards against answers that are cut although their server goes on.
  Scenario Outline: a <kind> request with <attempts> attempts whose only server pauses
    Given a <kind> route with <attempts> attempts
    And a server that pauses for 1.4 seconds after event <event>
    When a request is sent
    Then its answer is whole
    And the servers have got 1 request

    Examples:
      | kind             | attempts | event |
      | resumable stream | 1        | 2     |
      | resumable stream | 2        | 2     |
      | idempotent       | 1        | 2     |
      | idempotent       | 2        | 2     |
      | idempotent       | 2        | 0     |
      | resumable stream | 2        | 0     |

  # Guards against a stream that is cut since its attempts are used up.
  Scenario: a stream that has moved once waits for its last server
    Given a resumable stream route with 2 attempts
    And a server that pauses for 4 seconds after event 2
    And a server that pauses for 1.4 seconds after event 4
    When a request is sent
    Then its answer is whole
    And the servers have got 2 requests

  # Guards against all streams that move at once when a whole service pauses.
  Scenario: streams stay where they are while all servers pause
    Given a resumable stream route with 2 attempts
    And a server that pauses for 1.2 seconds after event 2
    And a server that pauses for 1.2 seconds after event 2
    When 2 requests are sent at the same time
    Then its answer is whole
    And the servers have got 2 requests

  Scenario: a stream leaves a server that alone is silent
    Given a resumable stream route with 2 attempts
    And a server that pauses for 4 seconds after event 2
    And a server that pauses for 0 seconds after event 2
    And the last server has 1 requests of other hosts
    When a request is sent
    Then its answer is whole within 2 seconds
    And the servers have got 2 requests

  Scenario: no lease of a server is left when requests have moved
    Given a resumable stream route with 2 attempts
    And a server that pauses for 4 seconds after event 2
    And a server that pauses for 0 seconds after event 2
    When 4 requests are sent at the same time
    Then its answer is whole
    And no request is counted at any server

  # Guards against a request that leaves its server while no other takes it.
  Scenario Outline: a <kind> request stays at its server while the other one has a <reason>
    Given a <kind> route with 2 attempts
    And a server that pauses for 1.4 seconds after event 0
    And a server that pauses for 0 seconds after event 0
    And the last server has a <reason>
    When a request is sent
    Then its answer is whole
    And the servers have got 1 request

    Examples:
      | kind             | reason         |
      | resumable stream | long queue     |
      | resumable stream | limit in force |
      | idempotent       | long queue     |
      | idempotent       | limit in force |

  Scenario: a request leaves a silent server as soon as another one takes it
    Given a resumable stream route with 2 attempts
    And a server that pauses for 4 seconds after event 0
    And a server that pauses for 0 seconds after event 0
    And the last server has a long queue for 1 second
    When a request is sent
    Then its answer is whole within 2.5 seconds
    And the servers have got 2 requests

  # Guards against a large request that is given up while it is sent.
  Scenario: a request stays at a server that reads it late while no other takes it
    Given a resumable stream route with 2 attempts
    And a server that reads a request after 1.4 seconds
    And a server that pauses for 0 seconds after event 0
    And the last server has a long queue
    When a request with a body of 16 MB is sent
    Then its answer is whole
    And the servers have got 1 request

  # Guards against a begun answer that is cut where a new request is refused.
  Scenario: a stream whose server breaks off goes on behind a queue
    Given a resumable stream route with 2 attempts
    And a server that breaks off after event 2
    And a server that pauses for 0 seconds after event 0
    And the last server has 20 requests of other hosts
    When a request is sent
    Then its answer is whole
    And the servers have got 2 requests

  # Guards against a request that is given up since the server it moved to refused.
  Scenario Outline: a <kind> request goes back to the silent server that it left
    Given a <kind> route with 2 attempts
    And a server that pauses for 1.4 seconds after event <event>
    And a server that refuses requests
    And the last server has 1 requests of other hosts
    When a request is sent
    Then its answer is whole

    Examples:
      | kind             | event |
      | resumable stream | 0     |
      | idempotent       | 0     |
      | resumable stream | 2     |

  # Guards against a request that may have run and is refused like a new one.
  Scenario Outline: a <kind> request whose server breaks off at once goes on behind a queue
    Given a <kind> route with 2 attempts
    And a server that breaks off after event 0
    And a server that pauses for 0 seconds after event 0
    And the last server has 20 requests of other hosts
    When a request is sent
    Then its answer is whole

    Examples:
      | kind             |
      | resumable stream |
      | idempotent       |

  Scenario: a stream that has moved leaves a second server that is silent
    Given a resumable stream route with 3 attempts
    And a server that breaks off after event 2
    And a server that pauses for 9 seconds after event 0
    And a server that pauses for 0 seconds after event 0
    And server 2 has 1 requests of other hosts
    And server 3 has 2 requests of other hosts
    When a request is sent
    Then its answer is whole within 3 seconds

  Scenario: a large request leaves a server that does not read it
    Given a resumable stream route with 2 attempts
    And a server that reads a request after 8 seconds
    And a server that pauses for 0 seconds after event 0
    And the last server has 1 requests of other hosts
    When a request with a body of 16 MB is sent
    Then its answer is whole within 2 seconds

  Scenario: a caller who leaves says nothing of its server's health
    Given a resumable stream route with 1 attempts
    And a server that pauses for 9 seconds after event 0
    When a request is sent whose caller leaves after 0.5 seconds to a failing server
    Then the server is still taken for failing

  Scenario: asking for a server in vain delays no caller that was refused
    Given a resumable stream route with 2 attempts
    And a server that pauses for 1.4 seconds after event 0
    And a server that pauses for 0 seconds after event 0
    And the last server has a long queue
    When a request is sent
    Then its answer is whole
    # 81 requests of 1 s at 16 slots, half of which are for those who return.
    And a caller that is refused may return within 10.2 seconds

  # Guards against a server that is taken for alive as long as bytes come.
  Scenario: a stream leaves a server that completes no event
    Given a resumable stream route with 2 attempts
    And a server that sends a byte now and then after event 2
    And a server that pauses for 0 seconds after event 2
    And the last server has 1 requests of other hosts
    When a request is sent
    Then its answer is whole within 3 seconds
    And the servers have got 2 requests

  Scenario: a stream stays at a server whose large event takes long
    Given a resumable stream route with 2 attempts
    And a server that sends a large event slowly after event 2
    And a server that pauses for 0 seconds after event 2
    And the last server has 1 requests of other hosts
    When a request is sent
    Then its last event is whole
    And the servers have got 1 request

  Scenario: a stream stays at its only server, which completes no event
    Given a resumable stream route with 2 attempts
    And a server that sends a byte now and then after event 2
    When a request is sent
    Then its last event is whole
    And the servers have got 1 request

  # Guards against a caller's pause that is taken for silence of its server.
  Scenario: a stream of a slow caller stays at its server
    Given a resumable stream route with 2 attempts
    And a server that sends a large event slowly after event 2
    And a server that pauses for 0 seconds after event 2
    And the last server has 1 requests of other hosts
    And a caller that pauses for 1.7 seconds after the first event
    When a request is sent
    Then its last event is whole
    And the servers have got 1 request
