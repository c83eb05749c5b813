Feature: Prompts that crash the backend servers that answer them

  Scenario: requests with a prompt part that crashes engines are not sent to one engine after the other
    Given 3 daemons with 5 engines that crash on a prompt part
    When 9 sound requests are sent to the daemons in turn
    And 12 requests with the crashing part are sent to the daemons in turn
    And 3 seconds have passed
    And 12 requests with the crashing part are sent to the daemons in turn
    Then at most 3 of the last requests have reached engines
    And sound requests with the same first part are served by every daemon

  Scenario: a host that is new or was killed sends no requests on with a part that crashes engines
    Given 2 daemons with 5 engines that crash on a prompt part
    When 6 sound requests are sent to the daemons in turn
    And 12 requests with the crashing part are sent to the daemons in turn
    And the first daemon is killed and started again
    And another daemon starts
    And 12 requests with the crashing part are sent to the daemons in turn
    Then at most 3 of the last requests have reached engines
    And sound requests with the same first part are served by every daemon

  Scenario: a request that crashes engines is not sent on when it comes again under other ids
    Given 3 daemons with 5 engines that crash on one body
    When 9 sound requests are sent to the daemons in turn
    And a request with the crashing body comes 12 times, each time with sound ones of its session
    And 3 seconds have passed
    And a request with the crashing body comes 12 times, each time with sound ones of its session
    Then at most 3 of these requests have reached engines
    And the sound requests of the session were served
    And sound requests with the same first part are served by every daemon

  Scenario: a request that crashes engines and shares no part with others is not sent on
    Given 3 daemons with 5 engines that crash on one body
    When a request with the crashing body and no shared part comes 6 times
    And 3 seconds have passed
    And a request with the crashing body and no shared part comes 12 times
    Then at most 3 of these requests have reached engines

  Scenario: hosts that are new or were all killed at once send no request on that crashes engines
    Given 3 daemons with 5 engines that crash on one body
    When 9 sound requests are sent to the daemons in turn
    And a request with the crashing body comes 12 times, each time with sound ones of its session
    And all daemons are killed and started again
    And another daemon starts
    And a request with the crashing body comes 12 times, each time with sound ones of its session
    Then at most 3 of these requests have reached engines
    And the sound requests of the session were served
    And sound requests with the same first part are served by every daemon

  Scenario: items with a sound prompt part that was blamed complete at every owner
    Given 3 daemons with 5 engines that crash on a prompt part
    When 9 sound requests are sent to the daemons in turn
    And 12 requests with the crashing part are sent to the daemons in turn
    And the engines crash no more
    And a job of 2 items with the crashing part is submitted to each daemon
    Then all items complete within 20 seconds

  Scenario: items with a prompt part that crashes engines cost one engine a trial at all owners together
    Given 3 daemons with 5 engines that crash on a prompt part
    When 9 sound requests are sent to the daemons in turn
    And 12 requests with the crashing part are sent to the daemons in turn
    And 3 seconds have passed
    And a job of 2 items with the crashing part is submitted to each daemon
    And 20 seconds have passed
    Then at most 2 of the items have reached engines
    And no item has a result
