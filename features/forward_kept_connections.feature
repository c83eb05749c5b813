Feature: Kept connections to servers that are closed

  # Guards against calls that are hit when idle connections are closed.
  Scenario Outline: <kind> requests while two other servers are silent
    Given a server that keeps connections
    And two servers that are silent whenever they are called
    When 8 callers send 150 <kind> requests each
    Then each request is answered whole
    And each request has run once
    And idle connections were closed in between

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

  Scenario: an idempotent request on a connection that its server resets
    Given a server that resets connections that are used again
    And a server that keeps connections
    When 1 callers send 6 idempotent requests each
    Then each request is answered whole

  # Guards against requests that are sent again although they may have run.
  Scenario: a non_idempotent request on a connection that its server resets
    Given a server that resets connections that are used again
    And a server that resets connections that are used again
    When 1 callers send 6 non_idempotent requests each
    Then each request has run once
    And no request that is not answered counts as not run
