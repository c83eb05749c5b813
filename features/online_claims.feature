Feature: A request with an idempotency key runs at most once

  Scenario: a resend on another host gets the first outcome
    Given entry hosts before a booking service
    When a reservation is sent to host 0 with key "k1"
    And the reservation is sent again to host 1 with key "k1"
    Then both reservations have the same response
    And the service ran 1 reservations

  Scenario: another body under the same key is a conflict
    Given entry hosts before a booking service
    When a reservation is sent to host 0 with key "k1"
    And another reservation is sent to host 1 with key "k1"
    Then the last booking response is 409 "key_conflict" with run "not_run"
    And the service ran 1 reservations

  Scenario: the platform's response to the claim is lost
    Given entry hosts before a booking service
    And the platform loses the response to its next 1 writes
    When a reservation is sent to host 0 with key "k1"
    And the reservation is sent again to host 1 with key "k1"
    Then both reservations have the same response
    And the service ran 1 reservations

  Scenario: the platform is unavailable
    Given entry hosts before a booking service
    And the platform refuses every call
    When a reservation is sent to host 0 with key "k1"
    Then the last booking response is 503 "platform_unavailable" with run "not_run"
    And the service ran 0 reservations

  Scenario: the service breaks off its response after it ran
    Given entry hosts before a booking service
    And the service breaks off its responses
    When a reservation is sent to host 0 with key "k1"
    And the reservation is sent again to host 1 with key "k1"
    Then the last booking response is 502 "outcome_unknown" with run "unknown"
    And the service ran 1 reservations

  Scenario: a reservation without a key is never sent twice
    Given entry hosts before a booking service
    And the service breaks off its responses
    When a reservation is sent to host 0 without a key
    Then the last booking response is 502 "backend_failed" with run "unknown"
    And the service ran 1 reservations

  Scenario: a request that provably did not run releases its key
    Given entry hosts before a booking service
    And the service refuses every call and reports that it did not run
    When a reservation is sent to host 0 with key "k1"
    Then the last booking response is 503 "no_backend_server" with run "not_run"
    When the service works again
    And the reservation is sent again to host 1 with key "k1"
    Then the last booking response is 200
    And the service ran 1 reservations

  Scenario: a resend while the first request runs
    Given entry hosts before a booking service
    And the service responds after 1 seconds
    When a reservation is sent to both hosts at once with key "k1"
    Then both reservations have the same response
    And the service ran 1 reservations

  Scenario: the host that claimed the key has failed
    Given entry hosts before a booking service
    And an old claim of key "k1" without an outcome
    When a reservation is sent to host 0 with key "k1"
    Then the last booking response is 502 "outcome_unknown" with run "unknown"
    And the service ran 0 reservations

  Scenario: old claims are deleted and others are not
    Given entry hosts before a booking service
    And an old claim of key "k1" without an outcome
    When a reservation is sent to host 0 with key "k2"
    And a host cleans all claims
    Then the platform holds 1 claim

  Scenario: a request whose deadline passes during its claim is not dispatched
    Given entry hosts before a booking service
    And the platform responds after 1.0 seconds
    When a reservation is sent to host 0 with key "k1" and 500 ms to its deadline
    Then the last booking response is 504 "deadline_exceeded" with run "not_run"
    And the service ran 0 reservations
