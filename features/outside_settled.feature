Feature: Writes to a platform that loses answers

  Scenario: an acknowledged write persists and a refused one has no effect
    When two writers write with lost answers, lost requests and races
    Then the platform always held the acknowledged writes

  Scenario Outline: <fault> on a write without confirmation
    Given a platform stand-in with a store
    And the platform's faults are <document>
    When the platform object "a" is written
    Then the write ends as <outcome> and the object is <state>

    Examples:
      | fault            | document                    | outcome     | state   |
      | a lost answer    | {"lost_answers_next": 1}    | unknown     | present |
      | a lost request   | {"lost_requests_next": 1}   | unknown     | absent  |
      | a refusal        | {"outage": "refuse"}        | unavailable | absent  |
      | a reset          | {"outage": "reset"}         | unknown     | absent  |
      | silence          | {"outage": "silent"}        | unknown     | absent  |
      | a cut off host   | {"cut_hosts": ["entry-1"]}  | unknown     | absent  |
      | a slow platform  | {"delay_s": 0.7}            | unknown     | present |

  Scenario: a write to a closed platform has no effect
    Given a platform stand-in with a store
    And the platform is closed
    When the platform object "a" is written
    Then the write ends as unavailable

  Scenario Outline: <fault> on a read
    Given a platform stand-in with a store
    And the platform's faults are <document>
    Then reading from the platform is unavailable

    Examples:
      | fault         | document                   |
      | a refusal     | {"outage": "refuse"}       |
      | a reset       | {"outage": "reset"}        |
      | silence       | {"outage": "silent"}       |
      | a cut         | {"cut_hosts": ["entry-1"], "cut": "silent"} |

  Scenario: only the hosts that are cut off cannot reach the platform
    Given a platform stand-in with a store
    And the platform's faults are {"cut_hosts": ["entry-9"]}
    When the platform object "a" is written
    Then the write ends as written and the object is present

  Scenario: stale reads return an old state
    Given a platform stand-in with a store
    When the platform object "a" is written
    And the platform's reads become stale by 60 seconds
    Then the object "a" is not visible yet
    But a conditional write conflicts with it

  Scenario Outline: a watch that is <kind>
    Given a platform stand-in with a store
    And the platform's faults are <document>
    Then a platform watch over a change ends as <end>

    Examples:
      | kind   | document              | end         |
      | live   | {"watches": "live"}   | an event    |
      | stale  | {"watches": "stale"}  | no event    |
      | silent | {"watches": "silent"} | unavailable |

  Scenario: the host list lags
    Given a platform stand-in with a store
    And the platform's faults are {"hosts_lag_s": 0.3}
    When a host is added to the platform's list
    Then the host is listed only after the lag

  Scenario: the platform's history records calls, hosts and outcomes
    Given a platform stand-in with a store
    And the platform's faults are {"lost_answers_next": 1}
    When the platform object "a" is written
    And the platform object "a" is written
    Then the platform's history is write lost_answer, write 412 of "entry-1"

  Scenario: a host keeps within its share of the call rates
    Given a platform stand-in with a store
    And 2 hosts that share 4 reads and 2 writes a second, without a burst
    When 4 bulk reads and 3 bulk writes are made at once
    Then 2 reads and 1 write reached the platform and the rest were refused
