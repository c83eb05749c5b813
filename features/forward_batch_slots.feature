Feature: Slots that the host with the earliest due job leaves free

  Scenario: items take the free slots that the hosts before theirs do not use
    Given a host with 5 waiting items after 1 host that tells of 40 and starts none
    When it looks for slots at 2 servers for 5 seconds
    Then it has started 5 items

  Scenario: the last of 16 hosts takes free slots that no host uses
    Given a host with 5 waiting items after 15 hosts that tell of 40 and start none
    When it looks for slots at 2 servers for 10 seconds
    Then it has started 2 items or more

  Scenario: two hosts that each take the other for the first start their items
    Given 2 hosts with 40 waiting items, each after the other
    When they look for slots at 2 servers for 5 seconds
    Then each has started 5 items or more

  Scenario: free slots that the host before takes within 0.3 seconds are left to it
    Given a host with 5 waiting items after 1 host that tells of 40 and starts none
    When it looks for slots for 5 seconds that the other takes within 0.3 seconds
    Then it has started 0 items

  Scenario: slots that nobody uses are not filled beyond their number
    Given 16 hosts with 40 waiting items, each after all others
    When they look for slots at 2 servers for 10 seconds
    Then all 14 slots are used
    And no server has more than 7 items
