Feature: Limits hold over all hosts together

  Scenario: a concurrency shared by three hosts
    Given 3 entry hosts and an owner limited to a concurrency of 10
    When 45 chats are sent over all hosts, again after a refusal
    Then every limited chat is whole at last
    And the engines never ran more than 10 chats at once
    And each host has served chats

  Scenario: the platform is away
    Given 3 entry hosts and an owner limited to a concurrency of 40
    And the platform is away before any grant
    When 60 chats are sent over all hosts once
    Then the limited chats that were refused say 429 and "not_run"
    And the engines ran at least 1 chats and never more than 8 at once

  Scenario: requests a second
    Given 3 entry hosts and an owner limited to 20 requests a second
    When 60 chats are sent over all hosts once
    Then the limited chats that were refused say 429 and "not_run"
    And the engines took at most 44 chats
