Feature: Kinds of the platform that a host follows

  Scenario Outline: a mirror <how> brings what changed while it could not see it
    Given a mirror <how> of a, b and c
    When the platform is away while b is replaced, c removed and d written
    Then the sink holds a, the new b and d

    Examples:
      | how       |
      | of bodies |
      | by names  |

  Scenario: a host that cannot watch lists less and less often
    Given a mirror of bodies of a, b and c
    When lists are answered through others and each watch fails
    Then the pauses between lists grow to their longest
    And the loss of the platform is told once
    And the mirror counts as connected

  Scenario: a watch that is answered ends the long pauses
    Given a mirror of bodies of a, b and c
    When lists are answered through others and each watch fails
    And a watch is answered and the next one fails
    Then the next pause is a short one

  Scenario: a mirror by names reads only what has changed
    Given a mirror by names of a, b and c
    When the platform is away while b is replaced, c removed and d written
    Then only b and d were read

  Scenario: an event that a list has overtaken changes nothing
    Given a mirror of bodies of a, b and c
    When an older event of b comes after its list
    Then the sink still holds the newer b

  Scenario: a sink is told whether a list follows an outage
    Given a mirror of bodies of a, b and c
    When the platform is away for a moment
    Then the first list was not after an outage and the second was
