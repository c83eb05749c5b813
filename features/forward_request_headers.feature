Feature: What callers choose of a request reaches servers as one request

  # Guards against requests that lie in the body of an item.
  Scenario Outline: an item whose stored headers have <headers> is one request
    Given a server that reads bodies as its headers say
    When an item with <headers> and a request in its body runs there twice
    Then the server has got the item twice and nothing else

    Examples:
      | headers                                      |
      | Transfer-Encoding: chunked                   |
      | transfer-encoding: chunked                   |
      | Transfer-Encoding : chunked                  |
      | Transfer_Encoding: chunked                   |
      | TRANSFER-ENCODING: identity, chunked         |
      | Content-Length: 5                            |
      | content-length: 0                            |
      | Content_Length: 0                            |
      | Connection: x-hop; X-Hop: 1                  |
      | connection: close                            |
      | Upgrade: h2c; HTTP2-Settings: AAMA           |
      | Expect: 100-continue                         |
      | Request-ID: f00dfeed00000001                 |
      | Request_Id: f00dfeed00000001                 |
      | HOST: other.example                          |
      | accept-encoding: gzip                        |
      | Expect_Instance: s2; Deadline_Ms: 1          |
      | TE: trailers; Trailer: X-Sum; Keep-Alive: 99 |

  # Guards against a body that is missing behind the length that was stated.
  Scenario Outline: an item without a body whose stored headers have <headers> is one request
    Given a server that reads bodies as its headers say
    When an item with <headers> and no body runs there twice
    Then the server has got the item twice and nothing else

    Examples:
      | headers                    |
      | Content-Length: 64         |
      | content_length: 64         |
      | Transfer-Encoding: chunked |

  # Guards against framing that a call brings to a server of any kind.
  Scenario: no call brings headers of another connection to a server
    Given a server that reads bodies as its headers say
    When a call of the product's own interface has the headers of a connection
    Then the server has got one request with the length of its body alone

  # Guards against hosts of an older release, which send items as they are stored.
  Scenario: a job is stored without the headers that its items may not bring
    When a job is submitted whose items have headers of all kinds
    Then its items keep Model, Token-Counts and X-Note and no other header

  # Guards against items that are accepted and tried until they lapse.
  Scenario Outline: a job with an item that has <what> is refused when it is handed in
    When a job is submitted whose item has <what>
    Then it is refused with a finding at <place>

    Examples:
      | what                                      | place              |
      | a header name with a space within         | $.Items[0].Headers |
      | an empty header name                      | $.Items[0].Headers |
      | a header name with a colon                | $.Items[0].Headers |
      | a header name with a line break           | $.Items[0].Headers |
      | a header value with a line break          | $.Items[0].Headers |
      | a header value with a folded line         | $.Items[0].Headers |
      | a header value with a null character      | $.Items[0].Headers |
      | a header value outside Latin-1            | $.Items[0].Headers |
      | a header twice with different values      | $.Items[0].Headers |
      | a path with a space                       | $.Items[0].Path    |
      | a path with a line break                  | $.Items[0].Path    |
      | a path with a control character           | $.Items[0].Path    |
      | a path outside ASCII                      | $.Items[0].Path    |
      | an empty path                             | $.Items[0].Path    |
      | an empty id                               | $.Items[0].Id      |
      | an id with a space                        | $.Items[0].Id      |
      | an id with a line break                   | $.Items[0].Id      |
      | an id outside ASCII                       | $.Items[0].Id      |

  Scenario Outline: a job with an item that has <what> is accepted
    When a job is submitted whose item has <what>
    Then it is accepted

    Examples:
      | what                                |
      | a path with a query                 |
      | a header value in Latin-1           |
      | an empty header value               |
      | a header twice with the same value  |

  # Guards against sound servers that are taken for broken, and failures for 500,
  # because of a request line that cannot be sent.
  Scenario Outline: a request with <what> is refused with 400 and reaches no server
    Given a caller port before a server
    When a caller sends a request with <what>
    Then it is answered 400 and the server has got nothing

    Examples:
      | what                            |
      | a control character in its path |
      | a path outside ASCII            |
      | a method that is no token       |

  # Guards against headers that a caller means for its own connection only.
  Scenario: a server gets no header that a caller names in Connection
    Given a caller port before a server
    When a caller names X-Hop and Model in Connection
    Then the server gets Model and X-Note and no X-Hop
