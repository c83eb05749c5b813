Feature: Logs that nobody reads

  # Guards against threads that wait for the reader of the log.
  Scenario: threads that log do not wait for the reader
    Given a log whose reader has stopped
    When 20000 details and 500 warnings are logged
    Then logging them took less than 2 seconds
    And the dropped details are counted, and no warning is dropped

  Scenario: the reader comes back
    Given a log whose reader has stopped
    When 20000 details and 500 warnings are logged
    And the reader comes back
    Then it reads all warnings and how many details are missing

  Scenario: a stop does not wait for the reader
    Given a log whose reader has stopped
    When 20000 details and 500 warnings are logged
    Then the end of logging takes less than 1 second

  Scenario: a log that is read has every record in order
    Given a log that is read
    When 1000 details and 500 warnings are logged
    Then the end of logging takes less than 1 second
    And it has every record in order
