Feature: Hosts that lose their links to backend servers

  Scenario Outline: a host whose connections to engines are <how> uses others
    Given a host with <helpers> other hosts, the first <cut> cut off as well
    When its connections to engines are <how>
    And it forwards 4 requests
    Then all 4 requests got the whole answer of the engine
    And no request took longer than 1 second

    Examples:
      | how     | helpers | cut |
      | refused | 1       | 0   |
      | silent  | 1       | 0   |
      | refused | 4       | 3   |

  Scenario: a request is known not to have run if no host reaches the engine
    Given a host with 2 other hosts, the first 2 cut off as well
    When its connections to engines are refused
    And it forwards 1 requests
    Then it fails as not reached and not run

  Scenario: an engine that has failed uses up no way to the others
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And it forwards a request to an engine that has failed
    And it forwards 1 requests
    Then all 1 requests got the whole answer of the engine

  Scenario: a connection to an engine that ends at once is closed by the helper
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And connections of other hosts to the engine end at once
    And it forwards 1 requests
    Then it fails as not reached and not run
    And none of these connections is left open

  Scenario: a host connects others to listed servers only
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And the engine is not listed any more
    And it forwards 1 requests
    Then it fails as not reached and not run

  Scenario: an answer that breaks off in a tunnel is not complete
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And the engine resets its connection within an answer
    And it forwards 1 requests
    Then it fails as broken

  # Guards against a stream that counts as whole since its helper has ended.
  Scenario Outline: an answer without a length whose <end> is <counted>
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And it forwards a request and its <end> within an answer without a length
    Then the answer is <counted>

    Examples:
      | end                         | counted |
      | helper is killed            | broken  |
      | engine ends its connection  | whole   |

  Scenario: an engine is freed when the caller of a tunnelled request leaves
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And a request is cancelled after its first event
    Then the engine sees its connection closed

  Scenario: a host uses its own link again when it is back
    Given a host with 1 other hosts, the first 0 cut off as well
    When its connections to engines are refused
    And it forwards 2 requests
    And its connections to engines are accepted again
    And 2.5 seconds have passed
    And it forwards 2 requests
    Then the last requests went over its own link

  Scenario: two silent servers make kept connections suspect, one does not
    Given no link that is known to be cut
    Then one silent server leaves kept connections in use
    And a second one within 2 seconds does not

  Scenario: a server that nobody reaches costs its callers little
    Given a host with 8 other hosts, the first 0 cut off as well
    When its connections to engines are silent
    And no other host gets an answer from the engine either
    And it forwards 1 requests
    Then it fails as not reached and not run
    And no request took longer than 0.4 second
