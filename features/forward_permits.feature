Feature: Permits for servers that limit the requests of all hosts

  Scenario Outline: <hosts> hosts that all want more keep a limit of <limit> and use it
    Given <hosts> hosts that know a server with a limit of <limit> requests a second
    When each host wants a request every 0.1 seconds for 20 seconds
    Then no 4 seconds have more than 1.5 times what the limit allows and 5 requests
    And at least 0.7 of what the limit allows is sent
    And all hosts together ask at most 5 times for each request that is allowed

    Examples:
      | hosts | limit |
      | 1     | 3     |
      | 20    | 3     |
      | 20    | 40    |
      | 390   | 3     |

  Scenario: online requests get the permits first
    Given 20 hosts that know a server with a limit of 3 requests a second
    When each host wants an online request and a batch item every 0.1 seconds for 20 seconds
    Then at least 0.9 of the requests sent are online

  Scenario: batch items get what online requests leave
    Given 20 hosts that know a server with a limit of 3 requests a second
    When each host wants a batch item every 0.1 seconds for 20 seconds
    Then at least 0.7 of what the limit allows is sent

  Scenario: a host that does not answer does not hold up requests
    Given 20 hosts that know a server with a limit of 3 requests a second
    When the issuing host is frozen
    Then another host is told within 0.1 seconds that it may not send
    And it does not ask again at once

  Scenario: another host issues the permits when the first is lost
    Given 20 hosts that know a server with a limit of 3 requests a second
    When the issuing host is lost
    And each host wants a request every 0.1 seconds for 20 seconds
    Then at least 0.7 of what the limit allows is sent

  Scenario: a limit that one host has seen is known to all, and to a new one
    Given 20 hosts that know no limit
    When the first host gets an answer that names 3 requests a second
    And the hosts read the platform
    Then all hosts know the limit
    When a host starts anew
    Then all hosts know the limit

  Scenario: a limit that ends is forgotten by all hosts
    Given 20 hosts that know no limit
    When the first host gets an answer that names 3 requests a second
    And the hosts read the platform
    And another host gets an answer that names none
    And the hosts read the platform
    Then no host knows a limit

  Scenario: an answer to an older request does not end a limit
    Given 20 hosts that know no limit
    When a host gets an answer that names 3 requests a second, then one to an older request that names none
    Then it knows the limit

  Scenario: a server that has started again has no limit
    Given 20 hosts that know no limit
    When the first host gets an answer that names 3 requests a second
    Then its next incarnation has no limit

  Scenario Outline: a server that has started again is not left out for its last start's permits
    Given 20 hosts that know no limit
    When the first host gets an answer that names <limit> requests a second
    And it may send no request now, with an item or without
    And the server is listed with a later start
    Then the first host leaves out no server

    Examples:
      | limit |
      | 0     |
      | 3     |

  Scenario: a server that goes on is left out until there may be a permit
    Given 20 hosts that know no limit
    When the first host gets an answer that names 0 requests a second
    And it may send no request now, with an item or without
    And the server is listed again
    Then the first host leaves out the server

  Scenario: a limit that changes a little is not written again
    Given 20 hosts that know no limit
    When the first host gets answers that name 3, 3.1 and 2.9 requests a second
    And the hosts read the platform
    Then the limit was written once

  Scenario: a limit that the platform does not take is written later
    Given 20 hosts that know no limit
    When the first host gets an answer that names 3 requests a second while the platform is away
    And the hosts read the platform
    Then all hosts know the limit

  Scenario: limits are removed when they are old
    Given 20 hosts that know no limit
    When the first host gets an answer that names 3 requests a second
    And the hosts read the platform
    And 700 seconds pass and every host removes old limits
    And the hosts read the platform
    Then no host knows a limit

  Scenario: notices with permits survive the way over the network
    Then a notice with requests for permits and permits is decoded as it was

  Scenario Outline: an engine's <header> is read as <limit>
    Then the header "<header>" of an engine's answer is read as <limit>

    Examples:
      | header | limit |
      | 3.5    | 3.5   |
      | 0      | 0     |
      | 12     | 12    |
      | many   | inf   |
      | -1     | inf   |
      | nan    | inf   |
      | 1e9    | inf   |

  Scenario: a request goes to a server without a limit when another takes none
    Given a streamed route and two servers
    And the first server takes no more requests now
    When 5 requests are forwarded
    Then all of them went to the second server

  Scenario: an item that gets no permit says nothing of the health of its server
    Given a streamed route and two servers
    And the first server takes no more requests now
    And the first server is not reached
    When an item is denied a permit for the first server
    And 20 requests are forwarded
    Then all of them went to the second server
    And no host is told that the first server has recovered

  Scenario: a request that no server takes is refused with the time to come back
    Given a streamed route and two servers
    And no server takes more requests now
    When a request is forwarded
    Then it ends with overloaded after 0 attempts
    And the error has a retry time of 0.1 to 10 seconds
