Feature: Batch items yield to online requests at once

  Scenario: a burst on a host that sends no batch items
    Given 2 entry hosts before 1 engine of 8 slots
    And 40 batch items that run on idle slots
    When 12 chats are sent at once to each host
    Then every chat is answered completely
    And no chat waited behind more than 2 batch items
    And every batch item completes with its full text
    And some batch items were preempted

  Scenario: hosts whose notices are all lost
    Given 2 entry hosts before 1 engine of 8 slots
    And hosts that lose every notice
    And 40 batch items that run on idle slots
    When 12 chats are sent at once to each host
    Then every chat is answered completely
    And every batch item completes with its full text
