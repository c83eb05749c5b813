Feature: One chat from the command line

  Scenario Outline: the chat command prints a <shape> answer
    Given an entry host before engines
    When the chat command asks for a <shape> answer
    Then it prints the answer of the engine and exits 0

    Examples:
      | shape    |
      | whole    |
      | streamed |

  Scenario: the chat command reports an error
    Given an entry host before engines
    When the chat command asks an unknown model
    Then it prints "not_found" and "not_run" and exits 1
