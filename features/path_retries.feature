Feature: Failing servers cause no retry storm

  Scenario: an ejected server stays ejected when it reports its load
    Given a reachable server at which three requests failed
    When it reports its load
    Then it gets no requests yet

  Scenario: an unreachable server gets requests again after a load report
    Given a server that one request could not reach
    When it reports its load
    Then it gets requests again

  Scenario: unused retry budget does not accumulate without limit
    Given a retry budget of 0.15 after 2000 requests without a fault
    When half of 1000 requests fail at 20 a second
    Then there are at most 1200 attempts

  Scenario: a host with little traffic may retry every failure
    Given a retry budget of 0.15 after 0 requests without a fault
    When all of 20 requests fail at one in 2 seconds
    Then there are 40 attempts

  Scenario: keys are reassigned when live hosts disappear
    Given a host that sees 5 live peers in its zone
    When it checks 200 keys, loses 4 of the peers and checks again
    Then it is still assigned every key that it had, and more

  Scenario: requests go to another zone when all engines of a zone fail
    Given a router with 4 engines in its zone and 4 in another
    When the engines of its zone fail every request for 10 seconds
    Then at most 120 of 1000 requests went to the failing engines
    And every failing engine is probed again
