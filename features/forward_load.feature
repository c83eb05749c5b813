Feature: What callers get when more comes than the servers can serve

  Scenario Outline: a load of <load>
    Given a load of <load> on 5 servers behind 10 hosts
    When it is played with waits of up to 1.5 seconds and with those of the objective
    Then at least <times> times as many callers are answered in time
    And at least <part> of what the servers could serve is served

    Examples:
      | load                          | times | part |
      | a tenth less than they serve  | 1     | 0.95 |
      | a fifth more than they serve  | 3     | 0.9  |
      | twice what they serve         | 5     | 0.9  |
      | peaks of 1.84 times           | 2     | 0.9  |
      | peaks that lie close together | 1.5   | 0.9  |
      | a burst of three times        | 1.5   | 0.9  |
      | two of five servers lost      | 1.3   | 0.9  |

  Scenario: nobody is refused while servers have room
    Given a load of half of what they serve on 5 servers behind 10 hosts
    When it is played with waits of up to 1.5 seconds and with those of the objective
    Then nobody is refused

  Scenario: refused callers do not return together
    Given a load of a burst of three times on 5 servers behind 10 hosts
    When it is played with waits of up to 1.5 seconds and with those of the objective
    Then no tenth of a second is promised to more than 15 callers

  Scenario Outline: a request with <left> of its 5 seconds left
    Given a route with an objective of 0.3 seconds
    Then a request with <left> seconds left may wait for <wait> seconds

    Examples:
      | left | wait |
      | 5    | 0.21 |
      | 3    | 0.21 |
      | 0.1  | 0.1  |

  Scenario: jobs end one after the other, those that are due first before others
    Given 12 hosts with a job of 10 items of 5 seconds each, one job a second, on 3 servers
    When the jobs are played with and without knowing which is due first
    Then the job that takes longest takes at most 0.85 of the time without
    And the jobs end in the order in which they are due
    And the last job ends as soon as without
    And no server holds more items than its slots
