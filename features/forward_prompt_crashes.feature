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
