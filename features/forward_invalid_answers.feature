Feature: Answers that are not valid are passed on nowhere

  # Guards against a part of an answer that passes for the whole one because
  # the failed upload has hidden the reset, or since the reset came after it.
  Scenario Outline: a <path> whose upload is cut off by an answer that is <end> gets no whole answer
    Given an upload of <size> KiB to a server whose answer is <end> before it has read it
    When it is sent 5 times as <path>
    Then none of the answers passes for whole

    Examples:
      | path                   | size | end           |
      | idempotent request     | 3072 | reset at once |
      | idempotent request     | 300  | closed unread |
      | non-idempotent request | 3072 | reset later   |
      | non-idempotent request | 300  | closed unread |
      | stream                 | 3072 | reset at once |
      | stream                 | 300  | closed unread |
      | tunnelled request      | 3072 | reset at once |
      | tunnelled request      | 300  | closed unread |
      | tunnelled stream       | 300  | closed unread |
      | item                   | 3072 | reset later   |
      | item                   | 300  | closed unread |
      | buffered chat          | 300  | closed unread |
      | service call           | 300  | reset at once |
      | service call           | 300  | closed unread |
      | item of a service      | 300  | reset at once |
      | item of a service      | 300  | closed unread |
      | client call            | 3072 | reset at once |
      | client call            | 300  | closed unread |

  # Guards against a check for resets that breaks whole answers.
  Scenario Outline: an answer without a length that ends before a long upload has been read is whole as <path>
    Given an upload of 3072 KiB to a server that ends its answer and then reads it
    When it is sent 1 times as <path>
    Then all of the answers pass for whole

    Examples:
      | path                   |
      | idempotent request     |
      | non-idempotent request |
      | stream                 |
      | item                   |

  # Guards against heads that are no answer and are taken for one.
  Scenario Outline: an answer that begins with <head> passes for whole nowhere
    When an answer that begins with <head> is sent on every path
    Then none of the answers passes for whole

    Examples:
      | head                              |
      | HTTP/1.1 000 OK                   |
      | HTTP/1.1 099 OK                   |
      | HTTP/1.1 0200 OK                  |
      | HTTP/1.1 +200 OK                  |
      | HTTP/1.1 2_0_0 OK                 |
      | HTTP/1.1 abc OK                   |
      | HTTP/1.1 600 OK                   |
      | HTTP/1.1 999 OK                   |
      | HTTP/1.1 101 OK                   |
      | HTTP/1.1 150 OK                   |
      | HTTP/1.x 200 OK                   |
      | HTTP/2.0 200 OK                   |
      | no status line                    |
      | HTTP/1.1 000 A, HTTP/1.1 200 OK   |
      | HTTP/1.1 099 A, HTTP/1.1 200 OK   |
      | HTTP/1.1 600 A, HTTP/1.1 200 OK   |
      | HTTP/1.1 101 A, HTTP/1.1 200 OK   |

  # Guards against answers that break off and pass for whole since their length is unclear.
  Scenario Outline: an answer with <line> in place of its length passes for whole nowhere
    When an answer with <line> in place of its length is sent on every path
    Then none of the answers passes for whole

    Examples:
      | line                              |
      | no colon here                     |
      | Content-Length : 9999             |
      | Content-Length: 9999x             |
      | Content-Length: -1                |
      | Transfer-Encoding: gzip, chunked  |

  # Guards against an interim answer that is taken for the answer itself.
  Scenario Outline: an answer after the interim answer <interim> passes for whole everywhere
    When an answer that begins with HTTP/1.1 <interim> A, HTTP/1.1 200 OK is sent on every path
    Then all of the answers pass for whole

    Examples:
      | interim |
      | 100     |
      | 102     |
      | 103     |
      | 150     |

  # Guards against redirections that pass for results of a model, a report or
  # an item.
  Scenario Outline: a redirection passes for no <path>
    When an answer that begins with HTTP/1.1 302 Found is sent as <path>
    Then none of the answers passes for whole

    Examples:
      | path              |
      | item              |
      | load report       |
      | order state       |
      | chat              |
      | streamed chat     |
      | buffered chat     |
      | item of a model   |
      | item of a service |

  # Guards against a load report that a server sends with an error.
  Scenario: a load report with status 500 counts as none
    When an answer that begins with HTTP/1.1 500 Failed is sent as load report
    Then none of the answers passes for whole

  # Guards against an item that is completed with nothing.
  Scenario: an item whose answer has no event is not completed
    Given a server that answers an item with status 200 and no event
    When it is sent 1 times as item
    Then none of the answers passes for whole

  # Guards against a second run of a request that may have run.
  Scenario Outline: a <kind> request whose first server answers with status 600 <end>
    Given a server that answers with status 600 and another that answers properly
    When a request of a <kind> route is sent to both
    Then it <end>

    Examples:
      | kind           | end                                |
      | idempotent     | is answered by the other server    |
      | non_idempotent | fails, and may have run            |
