Feature: Changes of the configuration while requests are under way

  # Guards against requests that are cut or judged by settings newer than they.
  Scenario Outline: a <kind> request under way when its route gets <change>
    Given a host with a <kind> route with a timeout of 5 seconds
    And engines that take 3 seconds for an answer
    When its route gets <change> while a request is under way
    Then that request is answered whole by one engine of the old service
    And the next request <outcome>

    Examples:
      | kind      | change          | outcome                         |
      | unsafe    | a short timeout | ends at its timeout             |
      | safe      | a short timeout | ends at its timeout             |
      | streaming | a short timeout | ends at its timeout             |
      | unsafe    | another service | is served by the new service    |
      | safe      | another service | is served by the new service    |
      | streaming | another service | is served by the new service    |
      | unsafe    | no entry        | finds no route                  |
      | streaming | no entry        | finds no route                  |

  Scenario Outline: a <kind> request is not held beyond the timeout it began with
    Given a host with a <kind> route with a timeout of 1 seconds
    And engines that take 3 seconds for an answer
    When its route gets a long timeout while a request is under way
    Then that request ends at its timeout
    And the next request is answered whole

    Examples:
      | kind      |
      | unsafe    |
      | safe      |
      | streaming |

  Scenario: a stream goes on at its service though its route has moved
    Given a host with a streaming route with a timeout of 5 seconds
    And engines that take 3 seconds for an answer
    When its route gets another service while a request is under way
    And the engine of the request ends
    Then that request is answered whole by two engines of the old service

  # Guards against a limit of idle connections that is read and not applied.
  Scenario: connections follow a shorter limit of idle time
    Given a host with a safe route with a timeout of 5 seconds
    And engines that take 0.1 seconds for an answer
    When a connection has been used and the limit of idle time becomes 2 seconds
    Then the connection serves requests with 1.2 seconds between them
    And it is closed within 6 seconds once it is idle

  Scenario: a request longer than a shorter limit of idle time
    Given a host with a safe route with a timeout of 8 seconds
    And engines that take 5 seconds for an answer
    When the limit of idle time becomes 2 seconds while a request is under way
    Then that request is answered whole by one engine of the old service
    And its connection is closed within 6 seconds, but not within 1 seconds

  Scenario: requests that cross the close of their idle connection
    Given a host with an unsafe route with a timeout of 5 seconds
    And engines that take 0.1 seconds for an answer
    When 40 connections are used again around the limit of idle time of 2 seconds
    Then each request that an engine got is answered whole
    And some connections were closed and some were not
