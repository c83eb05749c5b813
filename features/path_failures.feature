Feature: Promises hold on real processes under failure

  Scenario: hosts die, freeze and return while chats and a batch run
    Given a fleet of processes with callers that ask all the time
    And a batch of 900 items of which 2 are bad and 20 are not idempotent
    When a host is killed and another freezes for longer than its lease
    And the platform loses 5 answers and then refuses calls for 2 seconds
    And the killed host is started again
    Then every item of the batch has one outcome, the same on every host
    And each completed item has its own whole answer
    And no item that is not idempotent ran twice
    And each caller got its own whole answer or a true error
    And no reservation ran twice

  Scenario: a rolling restart cuts off no request
    Given a fleet of processes with callers that ask all the time
    And a batch of 900 items of which 2 are bad and 20 are not idempotent
    When every host is stopped as planned and started again in turn
    Then no caller got an error
    And every item of the batch has one outcome, the same on every host
    And each completed item has its own whole answer
    And no item that is not idempotent ran twice
    And no item ended unknown

  Scenario: a zone that is cut off from the platform goes on with everything
    Given a fleet of processes with callers that ask all the time
    When the hosts of "cali-norte" no longer reach the platform
    And the limit of "chat" is set to 77 requests at a host of "cali-sur"
    Then every host has the limit of 77 in force
    And a batch of 40 items of which 2 are bad and 4 are not idempotent
    And every item of the batch has one outcome, the same on every host
    And a reservation at a host of "cali-norte" runs once
    And no caller got an error

  Scenario: nothing runs that the platform's absence forbids
    Given a fleet of processes with callers that ask all the time
    When the platform is away
    Then a batch job is refused as not run
    And a reservation is refused as not run and did not run
    And no caller of a chat got an error
