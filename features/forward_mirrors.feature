Feature: Mirrors of platform objects

  Scenario Outline: a mirror <how> catches up with changes made during an outage
    Given a mirror <how> of a, b and c
    When the platform is unreachable while b is replaced, c removed and d written
    Then the sink holds a, the new b and d

    Examples:
      | how       |
      | of bodies |
      | by names  |

  Scenario: a host that cannot watch lists less and less often
    Given a mirror of bodies of a, b and c
    When lists are answered through peers and each watch fails
    Then the delays between lists grow to the maximum
    And the loss of the platform is logged once
    And the mirror counts as connected

  Scenario: a successful watch resets the delay between lists
    Given a mirror of bodies of a, b and c
    When lists are answered through peers and each watch fails
    And a watch is answered and the next one fails
    Then the next delay is a short one

  Scenario: a mirror by names reads only changed objects
    Given a mirror by names of a, b and c
    When the platform is unreachable while b is replaced, c removed and d written
    Then only b and d were read

  Scenario: an event older than the listed version is ignored
    Given a mirror of bodies of a, b and c
    When an older event of b arrives after the list
    Then the sink still holds the newer b

  Scenario: a sink is notified whether a list follows an outage
    Given a mirror of bodies of a, b and c
    When the platform is briefly unreachable
    Then the first list was not after an outage and the second was

  # Guards against acting on what a host has long not heard anew.
  Scenario Outline: a mirror with a bound is stale <when>
    Given a mirror with a bound of 3 seconds of a, b and c
    When <seconds> seconds pass until a watch is answered, <link>
    Then the mirror is <state>

    Examples:
      | when                               | seconds | link             | state     |
      | not while its watches are answered | 0.5     | as usual         | not stale |
      | when an answer comes late          | 5       | as usual         | stale     |
      | not while nobody can be asked      | 5       | and lists fail   | not stale |

  Scenario: a mirror that has become stale lists at once and is not stale then
    Given a mirror with a bound of 3 seconds of a, b and c
    When 5 seconds pass until a watch is answered, as usual
    And the next step is taken
    Then it was a list
    And the mirror is not stale

  Scenario: a mirror is stale while its watch waits too long
    Given a mirror with a bound of 3 seconds of a, b and c
    When 3.1 seconds have passed in a watch
    Then the mirror is stale

  Scenario Outline: entries can only have expired in a loss that is long enough
    Given a mirror whose entries expire of a, b and c
    When the platform is unreachable for <seconds> seconds
    Then the second list was <after>

    Examples:
      | seconds | after               |
      | 2.3     | not after an outage |
      | 2.5     | after an outage     |
