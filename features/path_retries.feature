Feature: Failing servers bring no storm of retries

  Scenario: a server that fails requests stays ejected though it reports
    Given a server that three requests failed at, and that is reached
    When it reports its load
    Then it gets no request yet

  Scenario: a server that could not be reached is back with its report
    Given a server that one request could not reach
    When it reports its load
    Then it gets requests again

  Scenario: little is saved for retries in a quiet time
    Given a retry budget of 0.15 after 2000 requests without a fault
    When half of 1000 requests fail at 20 a second
    Then there are at most 1200 attempts

  Scenario: a host with little traffic may retry
    Given a retry budget of 0.15 after 0 requests without a fault
    When all of 20 requests fail at one in 2 seconds
    Then there are 40 attempts

  Scenario: who is responsible follows the live hosts
    Given a host that sees 5 live peers in its zone
    When it asks for 200 keys, loses 4 of the peers and asks again
    Then it is responsible for every key that it had and for more

  Scenario: a zone whose engines all fail leaves requests to other zones
    Given a router with 4 engines in its zone and 4 in another
    When the engines of its zone fail every request for 10 seconds
    Then at most 120 of 1000 requests went to the failing engines
    And every failing engine is probed again
