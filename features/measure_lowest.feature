Feature: Days on which a class or a zone was worth least

  Scenario: the class that is closest to its floor comes first, also in plays of hunts
    Given a site with days "quiet-1" and "trouble-1" whose classes have floors of 0.5 and 0.3
    And a score in which the class "digest" was worth 0.8 on "quiet-1" and 0.7 on "trouble-1"
    And a hunt in which the class "digest" was worth 0.4 on "trouble-1 --seed 7"
    When the 2 lowest parts are listed
    Then they are "digest of trouble-1 --seed 7" and "digest of quiet-1"

  Scenario: a day without a floor of its own has the least one
    Given a site with days "quiet-1" and "trouble-1" whose classes have floors of 0.5 and 0.3
    And a hunt in which the class "digest" was worth 0.2 on "mix"
    When the 1 lowest parts are listed
    Then their margins are -0.1
