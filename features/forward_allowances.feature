Feature: Allowances of teams over all hosts

  Scenario Outline: a hot team keeps its limit of <rate> and <burst> while <fault>
    Given 86 hosts and a team with a limit of <rate> requests a second and a burst of <burst>
    When 10 times its limit arrives for 8 seconds
    And <fault>
    And 10 times its limit arrives for 8 seconds
    And the fault ends
    And 10 times its limit arrives for 8 seconds
    Then no 5 seconds have more requests of the team than its limit allows
    And at least 0.9 of its limit is served

    Examples:
      | rate | burst | fault                           |
      | 20   | 10    | nothing fails                   |
      | 20   | 10    | the issuer is lost              |
      | 20   | 10    | the issuer is frozen            |
      | 20   | 10    | the issuer restarts             |
      | 20   | 10    | another issuer is added         |
      | 20   | 10    | the fleet is cut in two         |
      | 100  | 0     | the fleet is cut in two         |
      | 20   | 10    | one host is cut off             |
      | 20   | 10    | the issuer is cut off           |
      | 50   | 25    | a tenth of the datagrams is lost |
      | 0.5  | 0     | the fleet is cut in two         |
      | 20   | 10    | half of the hosts restart       |

  Scenario Outline: hosts that start together and do not know each other yet keep the limit of <rate> of a hot team
    Given 86 hosts and a team with a limit of <rate> requests a second and a burst of <burst>
    When 10 times its limit arrives for 8 seconds
    And all hosts restart
    And 10 times its limit arrives for 16 seconds
    Then no 5 seconds have more requests of the team than its limit allows
    # Hosts may take 5 of the 24 seconds to know each other.
    And at least 0.79 of its limit is served

    Examples:
      | rate | burst |
      | 20   | 10    |
      | 100  | 0     |
      | 0.5  | 0     |

  Scenario Outline: a usual team with a limit of <rate> is never refused while <fault>
    Given 86 hosts and a team with a limit of <rate> requests a second and a burst of <burst>
    When its usual load arrives for 20 seconds
    And <fault>
    And its usual load arrives for 20 seconds
    Then no request of the team is refused

    Examples:
      | rate | burst | fault                   |
      | 0.48 | 0     | nothing fails           |
      | 3    | 2     | nothing fails           |
      | 50   | 25    | nothing fails           |
      | 0.48 | 0     | the issuer is lost      |
      | 3    | 2     | the issuer is lost      |
      | 0.48 | 0     | the issuer is frozen    |
      | 20   | 10    | the issuer restarts     |
      | 20   | 10    | another issuer is added |

  Scenario Outline: a usual team loses little while <fault>
    Given 86 hosts and a team with a limit of 20 requests a second and a burst of 10
    When its usual load arrives for 10 seconds
    And <fault>
    And its usual load arrives for 20 seconds
    Then at most <share> of the requests of the team is refused

    Examples:
      | fault                   | share |
      | the issuer is frozen    | 0.05  |
      | the issuer is cut off   | 0.05  |
      | the fleet is cut in two | 0.05  |

  Scenario: many small teams are never refused
    Given 30 hosts and 200 teams with a limit of 0.48 requests a second
    When the usual load of all teams arrives for 60 seconds
    Then no request of any team is refused

  Scenario: a lowered limit binds one window after all hosts know it, and a raised one is used
    Given 86 hosts and a team with a limit of 40 requests a second and a burst of 20
    When 10 times its limit arrives for 8 seconds
    And its limit becomes 10 requests a second and a burst of 5
    And 400 requests a second arrive for 6 seconds
    Then later no 5 seconds have more requests of the team than its limit allows
    When its limit becomes 40 requests a second and a burst of 20
    And 400 requests a second arrive for 10 seconds
    Then at least 0.9 of its limit is served since

  Scenario: an issuer without the latest configuration uses the limit that a host knows
    Given 20 hosts and a team with a limit of 40 requests a second and a burst of 20
    When all hosts but the issuer learn a limit of 10 requests a second and a burst of 5
    And 400 requests a second arrive for 10 seconds
    Then later no 5 seconds have more requests of the team than its limit allows

  Scenario: a host that no issuer answers decides with its part of the limit
    Given 10 hosts and a team with a limit of 10 requests a second and a burst of 0
    When all datagrams are lost for a host that wants 20 requests a second for 20 seconds
    Then it runs at most 1.2 requests a second
    And its refusals do not say that the team is over its allowance

  Scenario: a team without a limit costs no message
    Given 20 hosts and a team with a limit of 0 requests a second and a burst of 0
    When 100 requests a second arrive for 2 seconds
    Then no message is sent
    And no request of the team is refused

  Scenario: a permit of a request that did not run serves the next one
    Given 20 hosts and a team with a limit of 1 requests a second and a burst of 0
    When a host has used all permits and gives one back
    Then one more request of the team runs within 0.5 seconds

  Scenario: the cost of a host stays within its budget where each request asks
    Given 390 hosts and 4200 teams with a limit of 2.82 requests a second
    When the usual load of all teams arrives for 2 seconds
    Then no host sends more than 5 KB a second on average

  Scenario: notices with allowances survive the way, and older ones are read
    Then a notice with requests and permits of allowances is decoded as it was
    And a datagram of the format without allowances has none

  Scenario: the zones of the fleet are read from the settings file
    Then the zones of a settings file are those of its section

  Scenario: a caller above the allowance of its team gets 429, others are served
    Given 2 daemons whose configuration limits team "hot" to 2 and team "calm" to 20 requests a second
    When each daemon gets 30 requests of team "hot" and 2 of "calm"
    Then some requests of the first were served, the others refused with 429
    And each refusal says when to come back
    And all requests of the second were served
