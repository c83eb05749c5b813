Feature: Planned stops while callers keep their connections

  # Guards against requests that are passed on late in a stop and cut at its end.
  Scenario: a host that stops cuts no request on a kept connection
    Given a host process with callers that keep their connections
    When it gets a stop signal and the connections are used one after the other
    Then every request that an engine got is answered whole
    And every other request is refused as not run, or its connection is closed
    And the process exits by itself

  # Guards against a stop that waits for an answer which could not be sent.
  Scenario: a request whose answer has a head that cannot be sent is not in flight
    Given an HTTP server whose answer has a header that it cannot send
    When the answer is called for
    Then the call is answered with status 500 and may have run
    And the server is idle

  # Guards against answers of servers that are replaced by an error.
  Scenario Outline: an answer with a header <name> is passed on without it
    Given a backend server whose answer has a header <name>
    When the answer is called for
    Then the call is answered with status 200 and no header <name>

    Examples:
      | name               |
      | Proxy-Authenticate |
      | Trailers           |
      | Upgrade            |

  # Guards against a server that is never idle while it refuses requests.
  Scenario: a server that refuses requests finishes those in flight
    Given an HTTP server with 3 kept connections and a request in flight
    When it refuses further requests
    Then its idle connections are closed
    And a request on an open connection is refused as not run
    And the request in flight is answered whole
