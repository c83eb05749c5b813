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
