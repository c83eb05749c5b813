Feature: Settings are checked as a whole

  Scenario: every wrong setting is reported with its place
    Given settings with an unknown key and a wrong port
    When the settings are checked
    Then the findings name "$.caller.listen.port" and "$.surprise"
