Feature: Starting the items of a host's jobs

  Scenario Outline: an item that does not start because it is <refusal> holds up no other item
    Given 2 jobs of 2 items each at one service
    When items start and item 0 of the first job is refused as <refusal>
    Then the 3 other items start
    And the first job alone reports <refusal>

    Examples:
      | refusal     |
      | earlier_run |
      | quarantined |

  Scenario Outline: a service that takes no item because of <refusal> is asked once
    Given 2 jobs of 2 items each at one service
    When items start and every item is refused as <refusal>
    Then 1 item has been asked for
    And both jobs report <refusal>

    Examples:
      | refusal   |
      | run_limit |
      | no_server |
