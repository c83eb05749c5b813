Feature: Wrong online requests are refused with every finding

  Scenario: random requests
    When random requests come to the caller port
    Then each wrong one was answered 4xx with findings and "not_run"
    And nothing wrong reached a backend server

  Scenario: several things are wrong at once
    When a chat comes with a wrong body and two wrong headers
    Then the refusal names "$.messages", "$.stream", "headers.guavadyke-deadline-ms" and "headers.guavadyke-idempotent"

  Scenario: a caller port with more connections than select() can watch
    Given a caller port that holds 1100 idle connections
    When a caller asks for its health
    Then the caller port answers that it lives

  Scenario Outline: <what> over a socket
    Given an entry host before engines
    When a caller sends <what>
    Then the border answers <status> "<code>" with run "not_run"

    Examples:
      | what             | status | code               |
      | no key           | 401    | unauthenticated    |
      | a wrong key      | 401    | unauthenticated    |
      | a wrong method   | 405    | method_not_allowed |
      | an unknown model | 404    | not_found          |
      | an unknown path  | 404    | not_found          |
      | an oversize body | 413    | too_large          |
      | half a header    | 400    | bad_request        |
