Feature: Online decisions against simple oracles

  Scenario Outline: <machine> under random events
    When the online machine "<machine>" is run over random events
    Then its oracle agrees

    Examples:
      | machine |
      | limits  |
      | slots   |
      | claims  |

  Scenario Outline: a limit holds where <case>
    When hosts share a limit and <case>
    Then its oracle agrees

    Examples:
      | case                                                 |
      | a smaller grant does not arrive                      |
      | requests outlive the grant that let them begin       |
      | a coordinator dies right after its last grant        |
