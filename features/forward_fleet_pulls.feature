Feature: A host that starts learns soon which others live

  Scenario: hosts that start together know each other after a few pulls
    Given 90 hosts, each of which knows 10 others
    When each host pulls until it is done
    Then each host knows 89 others
    And no host has pulled more than 20 times

  Scenario: a host that knows all others stops pulling
    Given 5 hosts, each of which knows 4 others
    When each host pulls until it is done
    Then no host has pulled more than 4 times

  Scenario: hosts of older releases are asked for a while
    Given 5 hosts, each of which knows 2 others
    And no host answers pulls
    When each host pulls until it is done
    Then each host knows 2 others
    And no host has pulled more than 20 times
