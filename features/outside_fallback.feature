Feature: A host that loses its path to the platform

  Scenario: what is written after a lost answer goes through a peer at once
    Given two hosts on one platform that help each other
    And the first host's answers to writes are lost
    When the first host creates a job object, settling its outcome
    Then the object is there once
    And the first host itself has tried the platform once

  Scenario: while the path is cut only lists try it
    Given two hosts on one platform that help each other
    And the first host's path to the platform is cut
    When the first host lists twice and then writes 5 objects over 10 seconds
    Then all 5 objects are there
    And the first host itself has tried the platform 2 times

  Scenario: a list finds that the platform is back
    Given two hosts on one platform that help each other
    And the first host's path to the platform is cut
    When the first host lists twice and then writes 5 objects over 10 seconds
    And the path is mended and the first host lists and writes once more
    Then the first host itself has tried the platform 4 times

  Scenario: a host without helpers tries the platform itself
    Given two hosts on one platform that help each other
    And the first host's path to the platform is cut
    And no other host is reached
    When the first host lists twice and then writes 5 objects over 10 seconds
    Then every write says that the platform is away
    And the first host itself has tried the platform at least 5 times

  Scenario Outline: a call after <before> may take <seconds> seconds
    Given calls that may take 1 second at the most
    When the calls before <before>
    Then the next call may take <seconds> seconds

    Examples:
      | before                        | seconds |
      | took 0.004                    | 0.3     |
      | took 0.15                     | 0.6     |
      | took 0.9                      | 1       |
      | timed out                     | 0.6     |
      | timed out, timed out          | 1       |
      | timed out, took 0.004         | 0.3     |
      | took 0.15, took 0.004         | 0.48    |
