Feature: Guarantees under failures, with a process per server

  Scenario: hosts are killed, paused and restarted during chats and a batch
    Given a fleet of processes under constant load from callers
    And a batch of 900 items of which 2 are bad and 20 are not idempotent
    When a host is killed and another is paused for longer than its lease
    And the platform loses 5 answers and then rejects calls for 2 seconds
    And the killed host is started again
    Then every item of the batch has one outcome, the same on every host
    And each completed item has its own whole answer
    And no item that is not idempotent ran twice
    And each caller got its own whole answer or a correct error
    And no reservation ran twice

  Scenario: a rolling restart interrupts no request
    Given a fleet of processes under constant load from callers
    And a batch of 900 items of which 2 are bad and 20 are not idempotent
    When every host in turn is stopped gracefully and started again
    Then no caller got an error
    And every item of the batch has one outcome, the same on every host
    And each completed item has its own whole answer
    And no item that is not idempotent ran twice
    And no item has an unknown outcome

  Scenario: a zone without access to the platform serves all requests
    Given a fleet of processes under constant load from callers
    When the hosts of "cali-norte" no longer reach the platform
    And the limit of "chat" is set to 77 requests at a host of "cali-sur"
    Then every host has the limit of 77 in force
    And a batch of 40 items of which 2 are bad and 4 are not idempotent
    And every item of the batch has one outcome, the same on every host
    And a reservation at a host of "cali-norte" runs once
    And no caller got an error

  Scenario: without the platform, chats run and durable work is rejected
    Given a fleet of processes under constant load from callers
    When the platform rejects every call
    Then a batch job is rejected as not run
    And a reservation is rejected as not run and did not run
    And no caller of a chat got an error
