Feature: Engines that fall silent in the middle of an online answer

  # Guards against answers that are cut although their engine goes on.
  Scenario Outline: a <kind> whose only engine pauses after piece <piece>
    Given 1 engine that pauses for 1.2 seconds after piece <piece>
    When the host gets a <kind>
    Then each answer is whole
    And the engines have got 1 request

    Examples:
      | kind                               | piece |
      | streamed chat                      | 0     |
      | streamed chat                      | 3     |
      | streamed chat that must run once   | 0     |
      | streamed chat that must run once   | 3     |
      | streamed chat of several choices   | 3     |
      | whole chat                         | 0     |
      | whole chat                         | 3     |
      | whole chat that must run once      | 3     |
      | whole chat with tools              | 3     |
      | service call                       | 3     |
      | batch item                         | 0     |
      | batch item                         | 3     |
      | batch item that must run once      | 3     |

  # Guards against a stream that is cut because it can't go on elsewhere.
  Scenario Outline: a <kind> stays at its engine beside another one
    Given 2 engines, of which the first one asked pauses for 1.2 seconds after piece <piece>
    When the host gets a <kind>
    Then each answer is whole
    And the engines have got 1 request

    Examples:
      | kind                               | piece |
      | streamed chat that must run once   | 0     |
      | streamed chat that must run once   | 3     |
      | streamed chat of several choices   | 3     |
      | whole chat that must run once      | 3     |
      | batch item that must run once      | 3     |

  Scenario Outline: a <kind> leaves an engine that alone is silent
    Given 2 engines, of which the first one asked pauses for 6 seconds after piece <piece>
    When the host gets a <kind>
    Then each answer is whole within 3 seconds
    And the engines have got 2 requests
    And no slot is in use

    Examples:
      | kind                               | piece |
      | streamed chat                      | 0     |
      | streamed chat                      | 3     |
      | whole chat                         | 3     |
      | whole chat with tools              | 3     |
      | service call                       | 3     |
      | batch item                         | 0     |
      | batch item                         | 3     |

  # Guards against requests that leave their engine while no other takes them.
  Scenario Outline: a <kind> stays while the other engine has no free slot
    Given 2 engines with one slot that pause for 1.2 seconds after piece <piece>
    When the host gets 2 times a <kind>
    Then each answer is whole
    And the engines have got 2 requests
    And no slot is in use

    Examples:
      | kind          | piece |
      | streamed chat | 0     |
      | streamed chat | 3     |
      | whole chat    | 3     |
      | batch item    | 3     |

  Scenario: requests that move wait for their last engine
    Given 2 engines that pause for 1.2 seconds after piece 3 of each answer
    When the host gets a streamed chat
    Then each answer is whole

  Scenario Outline: a <kind> at an engine that stays silent ends at its deadline
    Given 1 engine that pauses for 9 seconds after piece <piece> of each answer
    When the host gets, 2 seconds before its deadline, a <kind>
    Then it fails after 2 to 3 seconds as silent
    And no slot is in use

    Examples:
      | kind          | piece |
      | streamed chat | 0     |
      | streamed chat | 3     |
      | whole chat    | 3     |
      | service call  | 3     |

  # Guards against new requests at an engine that stands still.
  Scenario: an engine that is silent gets no new request
    Given 2 engines, of which the first one asked pauses for 3 seconds after piece 3
    When the host gets first a streamed chat that must run once, then a whole chat
    Then the second answer ends before the first one

  Scenario: a stream that lacks only its end is completed without an engine
    Given 1 engine that pauses for 9 seconds after piece 13
    When the host gets a streamed chat
    Then each answer is whole within 3 seconds
    And the engines have got 1 request

  # Guards against an engine that is taken for alive as long as bytes come.
  Scenario Outline: a <kind> leaves an engine that completes no event
    Given 2 engines, of which the first one asked sends a byte now and then after piece 3
    When the host gets a <kind>
    Then each answer is whole within 3 seconds
    And the engines have got 2 requests
    And no slot is in use

    Examples:
      | kind          |
      | streamed chat |
      | whole chat    |
      | batch item    |

  Scenario Outline: a <kind> stays at an engine whose large event takes long
    Given 2 engines, of which the first one asked sends a large event slowly after piece 3
    When the host gets a <kind>
    Then each answer is whole
    And the engines have got 1 request

    Examples:
      | kind          |
      | streamed chat |
      | whole chat    |
      | batch item    |

  Scenario: a streamed chat stays at the only engine that sends a byte now and then
    Given 1 engine that sends a byte now and then after piece 3
    When the host gets a streamed chat
    Then each answer is whole
    And the engines have got 1 request

  # Guards against a caller's pause that is taken for silence of its engine.
  Scenario: a stream of a slow caller stays at its engine
    Given 2 engines, of which the first one asked sends a large event slowly after piece 3
    When the host gets a streamed chat of a slow caller
    Then each answer is whole
    And the engines have got 1 request
