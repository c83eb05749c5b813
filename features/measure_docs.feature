Feature: The documentation agrees with the code

  Scenario: the settings reference is current
    When the settings reference is generated
    Then docs/settings.md is equal to it
    And it names every field of the settings

  Scenario: every error code is documented with its meaning
    When the page of error codes is read
    Then it gives the status and run meaning of every error code
    And it names no code that does not exist

  Scenario: every link between pages resolves
    When the links of all pages are read
    Then each leads to a file that exists

  Scenario: the examples are valid
    When the example settings and catalogue objects are checked
    Then each is valid and their host ids, addresses and names agree

  Scenario: the pages of figures are generated from the reports
    When the reports under docs/measurements are read
    Then docs/MEASUREMENTS.md equals the page generated from them
    And docs/CAPACITY.md equals the page generated from the report of slopes
