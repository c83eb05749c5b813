Feature: How answers of backend servers end

  Scenario Outline: a <kind> answer with neither a length nor chunks that ends with its connection is whole
    Given a <kind> route and a server that answers with neither a length nor chunks
    When a request is sent to it
    Then the caller gets the whole answer

    Examples:
      | kind       |
      | streamed   |
      | idempotent |

  Scenario Outline: a <kind> answer with neither a length nor chunks that is reset is not whole
    Given a <kind> route and a server that answers with neither a length nor chunks and resets
    When a request is sent to it
    Then the answer breaks off

    Examples:
      | kind       |
      | streamed   |
      | idempotent |

  Scenario Outline: a stream <framing> that ends inside an event has been broken off
    Given a streamed route and a server whose stream <framing> ends inside its last event
    When a request is sent to it
    Then the answer breaks off

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
      | to the end    |

  Scenario Outline: a stream <framing> that ends inside an event goes on at another server
    Given a resumable stream route and a server whose stream <framing> ends inside its last event
    And another server that answers with neither a length nor chunks from there on
    When a request is sent to it
    Then the caller gets the whole answer

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
      | to the end    |

  Scenario Outline: an item whose stream <framing> ends inside an event is not completed
    Given a streamed route and a server whose stream <framing> ends inside its last event
    When an item is run at it
    Then the run is broken and has all events but the last

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
      | to the end    |

  Scenario: an item whose stream has neither a length nor chunks and ends with its connection is completed
    Given a streamed route and a server that answers with neither a length nor chunks
    When an item is run at it
    Then the run is completed

  Scenario Outline: <odd> from the next server is no part of a stream that has begun
    Given a resumable stream route and a server whose stream in chunks ends inside its last event
    And another server that answers with <odd>
    When a request is sent to it
    Then the answer breaks off
    And the caller has got the events before it and nothing else

    Examples:
      | odd                           |
      | status 404 and a text         |
      | status 500 and a text         |
      | status 503 and a text         |
      | status 200 and a text         |
      | status 200 and a text block   |
      | a head within a body          |

  Scenario: an item whose next server answers with an error does not get its text
    Given a streamed route and a server whose stream in chunks ends inside its last event
    And another server that answers with status 200 and a text block
    When an item is run at one after the other
    Then no run has the text

  # Guards against heads that break off and are taken for whole ones.
  Scenario Outline: a <kind> answer whose head breaks off <place> has been broken off
    Given a <kind> route and a server whose head breaks off <place>
    When a request is sent to it
    Then the answer breaks off

    Examples:
      | kind       | place                          |
      | idempotent | after the status line          |
      | idempotent | within the signature           |
      | idempotent | before its empty line          |
      | idempotent | after the length of no body    |
      | idempotent | within a refusal               |
      | streamed   | after the status line          |
      | streamed   | within the signature           |
      | streamed   | before its empty line          |
      | streamed   | after the length of no body    |

  Scenario Outline: an answer in chunks that ends <place> has been broken off
    Given a streamed route and a server whose chunks end <place>
    When a request is sent to it
    Then the answer breaks off

    Examples:
      | place                  |
      | within the last size   |
      | before the last line   |
      | without the last chunk |
