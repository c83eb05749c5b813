Feature: Decisions on teams and their keys

  Scenario: keys find their team, and nothing shows them
    Given a configuration whose teams have keys
    Then each key finds its team
    And no, an empty or a similar key finds a team
    And no representation shows a key

  # Guards against a team without keys that opens the whole configuration.
  Scenario: a team without keys is a team
    Given a configuration whose only team has no keys
    Then the configuration has teams and no key is valid

  Scenario Outline: errors of an unreadable configuration show no key
    When a configuration is read whose keys are <keys>
    Then it is ignored and its log line shows no key

    Examples:
      | keys                              |
      | "hidden-key"                      |
      | ["hidden-key", 7]                 |
      | {"hidden-key": "hidden-key"}      |
      | ["hidden-key"                     |

  Scenario Outline: the priority of a team goes before that of the route
    Then a request of a team with priority <team> on a route with <route> has <priority>

    Examples:
      | team | route | priority |
      | none | 3     | 3        |
      | 0    | 3     | 0        |
      | 5    | 3     | 5        |

  # Guards against a team whose jobs use up the limit of another, and against
  # jobs of former teams that do not count when the configuration has no teams.
  Scenario: the limit on waiting tokens holds for each team
    Given amber has a job of 600 waiting tokens, birch one of 300, no team one of 100
    Then a limit of 900 leaves 300 for amber, 600 for birch and 800 for no team
    And it leaves none where there are no teams

  # Guards against two submissions at one host that find room for the same
  # tokens.
  Scenario: a job counts while it is being stored
    Given a host with a limit of 900 tokens
    When birch and amber submit jobs of 600 while a job of 600 of amber is stored
    Then amber is refused with 429 and birch is not

  Scenario Outline: a strict bound leaves an age of at least 0.6 of it
    Then a bound of <bound> s and changes learned in <freshness> s leave <age> s

    Examples:
      | bound | freshness | age  |
      | 5     | 2         | 3.2  |
      | 5     | 1         | 4.1  |
      | 5     | 5         | 3.2  |
      | 2     | 2         | 1.28 |

  Scenario Outline: a bound holds only where the settings call it strict
    When the settings file has StrictRevoke <strict> and RevokeMs 5000
    Then the bound is <bound> seconds

    Examples:
      | strict | bound |
      | true   | 5     |
      | True   | 5     |
      | false  | 0     |
      | absent | 0     |

  # Guards against readiness checks that count as refusals, and a state whose
  # end is not logged when a configuration removes all teams.
  Scenario: keys are trusted until the knowledge of them is too old
    Given a host that learned its teams 3 seconds ago under a bound of 5 seconds
    Then it trusts keys
    When 0.3 seconds pass
    Then it does not trust keys and refuses an unknown key with 503
    And it serves an anonymous route without a key and refuses it a known one
    And it lets teams read their jobs
    And it has counted 2 refusals
    When a configuration removes all teams
    Then it trusts keys and has logged one beginning and one end

  # Guards against knowledge that a suspended host passes on as the present.
  Scenario Outline: a host passes on no changes that it heard of before <pause>
    Given a host that heard of a change and then <pause>
    Then it answers another host that it does not know

    Examples:
      | pause                          |
      | was suspended                  |
      | was suspended during its watch |
