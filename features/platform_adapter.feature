Feature: Adapter to the users' platform

  Scenario: the settings file is read into settings of a host
    Given a settings file of the platform
    Then the host is front-south-a-1 in south-a of south
    And it listens to callers at port 8161 and for peers at port 7720
    And its seeds are peers at port 7720
    And the time for requests in flight ends before the grace period

  Scenario Outline: a settings file with <change> is rejected with its key
    Given a settings file of the platform with <change>
    Then it is rejected with a finding at <place>

    Examples:
      | change                     | place              |
      | Node=                      | Node               |
      | Provider.Address=          | Provider.Address   |
      | PortRange=                 | PortRange          |
      | Provider.WritesPerS=many   | Provider.WritesPerS |
      | Listen.Front=1.2.3.4:x     | $.port             |

  Scenario: a host may have no caller port
    Given a settings file of the platform with Listen.Front=
    Then the host has no caller port

  Scenario: a configuration is decoded into routes
    Given a configuration with a stream, a batch route and a split
    Then its routes match the configuration

  Scenario Outline: a configuration with <fault> is ignored
    When a configuration with <fault> is read
    Then it decodes to no configuration

    Examples:
      | fault            |
      | bytes            |
      | no routes        |
      | a wrong version  |
      | another name     |

  Scenario Outline: an engine's entry with <fault> is ignored
    When an engine's entry with <fault> is read
    Then it decodes to no engine

    Examples:
      | fault               |
      | bytes               |
      | no address          |
      | a host name         |
      | slots as text       |
      | another state       |
      | an empty service    |
      | a list              |

  Scenario: an engine's entry is decoded into a backend server
    When an engine's entry with nothing wrong is read
    Then the engine has its address, slots and incarnation

  Scenario: calls to engines have the platform's headers
    Then a call has the headers of the server, the time left and the last event

  Scenario Outline: meaning of an answer <status> with <header>
    Then an answer <status> with <header> is <meaning>

    Examples:
      | status | header       | meaning                    |
      | 503    | not-executed | proof that nothing ran     |
      | 429    | not-executed | proof that nothing ran     |
      | 421    | nothing      | proof that nothing ran     |
      | 503    | nothing      | a promise without proof    |
      | 429    | nothing      | a promise without proof    |
      | 408    | nothing      | a promise without proof    |
      | 500    | nothing      | an answer to be passed on  |
      | 200    | nothing      | an answer to be passed on  |

  Scenario Outline: a truncated answer <framing> is never accepted
    Then no truncation of an answer <framing> is accepted as complete

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
      | to the end    |

  Scenario: objects are created, replaced, listed and deleted conditionally
    Given a store of the platform
    Then objects follow the contract of the platform store

  Scenario: a rejected write has no effect, one without an answer may have
    Given a store of the platform
    Then a write that is answered 503 or 429 counts as not done
    And a write whose answer is lost counts as unknown

  Scenario: changes are watched
    Given a store of the platform
    Then a watch returns changes and deletions with their versions

  Scenario: a request to drain a host is decoded and completed
    Given a store of the platform
    Then a retirement is decoded, and its completion is written as its status

  Scenario: wire names and imports stay in the adapter
    Then no other module contains wire names
    And no other module imports the adapter
    And the pinned requirements are those that the project declares
