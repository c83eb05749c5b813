Feature: A host that loses its connection to the platform

  Scenario: a write whose answer was lost is retried through a peer at once
    Given two hosts on one platform that relay calls for each other
    And the first host's answers to writes are lost
    When the first host creates a job object and confirms its outcome
    Then the object exists once
    And the first host itself has called the platform once

  Scenario: while the platform is unreachable only lists call it directly
    Given two hosts on one platform that relay calls for each other
    And the first host cannot reach the platform
    When the first host lists twice and then writes 5 objects over 10 seconds
    Then all 5 objects exist
    And the first host itself has called the platform 2 times

  Scenario: a list detects that the platform is reachable again
    Given two hosts on one platform that relay calls for each other
    And the first host cannot reach the platform
    When the first host lists twice and then writes 5 objects over 10 seconds
    And the platform is reachable again and the first host lists and writes
    Then the first host itself has called the platform 4 times

  Scenario: a host that reaches no peer calls the platform directly
    Given two hosts on one platform that relay calls for each other
    And the first host cannot reach the platform
    And the first host cannot reach another host
    When the first host lists twice and then writes 5 objects over 10 seconds
    Then every write fails because the platform is unavailable
    And the first host itself has called the platform at least 5 times

  Scenario Outline: the timeout of a call after <before> is <seconds> seconds
    Given calls with a timeout of at most 1 second
    When the previous calls <before>
    Then the timeout of the next call is <seconds> seconds

    Examples:
      | before                        | seconds |
      | took 0.004                    | 0.3     |
      | took 0.15                     | 0.6     |
      | took 0.9                      | 1       |
      | timed out                     | 0.6     |
      | timed out, timed out          | 1       |
      | timed out, took 0.004         | 0.3     |
      | took 0.15, took 0.004         | 0.48    |
