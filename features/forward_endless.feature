Feature: Servers that send bytes without end

  # Guards against a process that ends because it keeps all that a server sends.
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
      | streamed | one chunk                  |
      | streamed | a chunk size               |
      | streamed | a trailer                  |
      | idempotent | header lines               |
      | idempotent | interim responses          |
      | idempotent | a body without length      |
      | idempotent | a chunked body             |
      | idempotent | one chunk                  |
      | idempotent | a chunk size               |
      | idempotent | a trailer                  |

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
      | one chunk                  |
      | a chunk size               |
      | a trailer                  |
      | an error without an end    |
      | events without ids         |

  # Guards against calls of the product's own interface that keep every byte.
  Scenario Outline: the <call> of a server that sends <bytes>
    Given a server that sends <bytes> until its caller closes
    When the <call> is read from it
    Then the call fails
    And the server sees its connection closed

    Examples:
      | call        | bytes                   |
      | load        | one chunk               |
      | load        | a body without length   |
      | order state | one chunk               |
      | error text  | an error without an end |

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

  # Guards against a slot that stays taken since its server waits for a reader.
  Scenario: a server whose reader has fallen behind sees a cancelled call end
    Given a server that sends events without ids until its caller closes
    When a call to it is cancelled after 1.5 seconds without a read
    Then the server sees its connection closed
