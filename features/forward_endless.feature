Feature: Servers that send bytes without end

  Scenario Outline: a <kind> request to a server that sends <bytes>
    Given a server that sends <bytes> until its caller closes
    When a <kind> request is sent to it
    Then the request fails, and may have run
    And the server sees its connection closed

    Examples:
      | kind     | bytes                      |
      | streamed | header lines               |
      | streamed | interim responses          |
      | streamed | a status line              |
      | streamed | a body without length      |
      | streamed | a chunked body             |
      | idempotent | header lines               |
      | idempotent | interim responses          |
      | idempotent | a body without length      |
      | idempotent | a chunked body             |

  Scenario Outline: an item at a server that sends <bytes>
    Given a server that sends <bytes> until its caller closes
    When an item is run there
    Then the run is broken and the item may go on elsewhere
    And the server sees its connection closed

    Examples:
      | bytes                      |
      | header lines               |
      | interim responses          |
      | a body without length      |
      | a chunked body             |
      | an error without an end    |
      | events without ids         |

  Scenario Outline: a call to a platform that sends <bytes>
    Given a server that sends <bytes> until its caller closes
    When an object is read from it as the platform
    Then the platform counts as unavailable
    And the server sees its connection closed

    Examples:
      | bytes                      |
      | header lines               |
      | interim responses          |
      | a body without length      |
