Feature: Limits apply to all hosts together

  Scenario: three hosts share a concurrency limit
    Given 3 entry hosts and an owner limited to a concurrency of 10
    When 45 chats are sent to all hosts in turn and retried if refused
    Then every limited chat is answered completely in the end
    And the engines never ran more than 10 chats at once
    And each host has served chats

  Scenario: the platform is unavailable
    Given 3 entry hosts and an owner limited to a concurrency of 40
    And the platform is unavailable before any grant
    When 60 chats are sent to all hosts in turn, without retries
    Then the limited chats that were refused have status 429 and run "not_run"
    And the engines ran at least 1 chats and never more than 8 at once

  Scenario: three hosts share a limit of requests per second
    Given 3 entry hosts and an owner limited to 20 requests per second
    When 60 chats are sent to all hosts in turn, without retries
    Then the limited chats that were refused have status 429 and run "not_run"
    And the engines received at most 44 chats
