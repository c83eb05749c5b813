Feature: Invalid online requests are rejected with all findings

  Scenario: random requests
    When random requests are sent to the caller port
    Then each invalid one got a 4xx status, findings and run "not_run"
    And no invalid request reached a backend server

  Scenario: a request with several errors
    When a chat is sent with an invalid body and two invalid headers
    Then the error has findings at "$.messages", "$.stream", "headers.guavadyke-deadline-ms" and "headers.guavadyke-idempotent"

  Scenario: a caller port with more connections than select() can watch
    Given a caller port that holds 1100 idle connections
    When a caller requests its liveness
    Then the caller port reports that it is live

  Scenario Outline: <what> over a socket
    Given an entry host before engines
    When a caller sends <what>
    Then the caller port responds <status> "<code>" with run "not_run"

    Examples:
      | what             | status | code               |
      | no key           | 401    | unauthenticated    |
      | a wrong key      | 401    | unauthenticated    |
      | a wrong method   | 405    | method_not_allowed |
      | an unknown model | 404    | not_found          |
      | an unknown path  | 404    | not_found          |
      | an oversize body | 413    | too_large          |
      | half a header    | 400    | bad_request        |
