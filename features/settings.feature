Feature: Validation of a settings file

  Scenario: every invalid setting is reported with its JSON path
    Given settings with an unknown key and an out-of-range port
    When the settings are validated
    Then the findings are at exactly "$.caller.listen.port" and "$.surprise"
