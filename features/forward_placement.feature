Feature: Placement of requests by expected cost and remaining work

  Scenario: servers of uneven speed are told apart
    Given a host and servers of the speeds 0.7, 0.7 and 1.7
    When each has completed 20 requests
    Then the learned speed of s3 is 2 to 2.5 times that of s1
    And requests are placed by work
    And a request costs less time at s3

  Scenario: servers of equal speed are chosen by counts
    Given a host and servers of the speeds 1, 1 and 1.2
    When each has completed 20 requests
    Then requests are placed by counts

  Scenario: one pause of a server does not change the method
    Given a host and servers of the speeds 1, 1 and 1
    When each has completed 1 requests
    And s1 completes 1 requests at the speed 0.01
    Then requests are placed by counts

  Scenario: waits for first events do not count as speed
    Given a host and servers of the speeds 1, 1 and 1
    When each has completed 20 requests with random waits of up to 3 s
    Then requests are placed by counts

  Scenario: lengths of answers without events do not count as speed
    Given a host and servers of the speeds 1, 1 and 1
    When each has completed 20 answers without events of 0.1 to 3 s
    Then requests are placed by counts

  Scenario: a spread of 0 never places by work
    Given a host with a spread of 0 and servers of the speeds 0.2 and 4
    When each has completed 20 requests
    Then requests are placed by counts

  Scenario: below the spread the choice is the same as by counts
    Then both choices agree in 400 random states below the spread

  Scenario: the method does not alternate near the spread
    Then ratios of 1.6, 1.45, 1.55, 1.3, 1.2, 1.45 and 1.5 give the methods work, work, work, work, counts, counts and work

  Scenario: a server that starts again is learned anew
    Given a host and servers of the speeds 0.7, 0.7 and 1.7
    When each has completed 8 requests
    And s3 starts again
    Then the learned speed of s3 is 1

  Scenario: a server that becomes slow and recovers is followed
    Given a host and servers of the speeds 1, 1 and 1
    When each has completed 20 requests
    And s1 completes 12 requests at the speed 0.4
    Then the learned speed of s1 is below 0.65
    And requests are placed by work
    When s1 completes 30 requests at the speed 1
    Then the learned speed of s1 is above 0.8
    And requests are placed by counts

  Scenario: a server without requests is slowly taken for usual again
    Given a host and servers of the speeds 0.4, 1 and 1
    When each has completed 10 requests
    And 1200 seconds pass without requests
    Then the learned speed of s1 is above 0.95

  Scenario: outputs that hints miss are learned
    Given a cost model and answers of 30 events for hints of 10
    Then the expected events for a hint of 10 are 30
    And the expected events for a hint of 100 with a maximum of 40 are 40
    And a request with 35 events so far still costs 5 events

  Scenario: a team's own lengths are used once they are known
    Given a cost model and answers of 30 events for hints of 10
    When 10 answers of the team owls have 10 events
    Then the expected events of the team owls are those of its route
    When 60 answers of the team owls have 10 events
    Then the expected events of the team owls are 10

  Scenario: cached parts of a prompt cost nothing
    Given a cost model of 0.1 ms for each uncached prompt token
    Then a prompt of 1000 tokens costs 0.1 s less where they are cached

  Scenario: reports of remaining work grow old and are lost
    Given a report of 4 requests with 8 s of work
    Then 4 s of work are left 1 s later
    And the requests have the mean cost 1.3 s later

  Scenario: hosts of the release before count with the mean cost
    Given a report of 4 requests without their work
    Then their work is that of 4 requests of mean cost

  Scenario: a report passes between hosts, and one without work is understood
    Then a notice with work of 1234 ms and one without are read as sent

  Scenario: a host reports its work only where speeds call for it
    Given a host and servers of the speeds 0.7, 0.7 and 1.7
    Then a request at s1 is reported without its work
    When each has completed 8 requests
    Then a request at s1 is reported with its work

  Scenario: no server gets more than its memory
    Given a host whose servers of the speeds 0.7 and 1.7 hold 500 tokens
    When each has completed 8 requests
    And 12 requests of 100 tokens are placed
    Then no server holds more than 500 tokens and 2 requests have no server
    And an item of 100 tokens has no server

  Scenario: 86 hosts that decide at once do not choose the same server
    Given 86 hosts that have learned 24 servers of the speeds 0.7, 0.7 and 1.7
    When each places a request by the same reports
    Then no server gets more than 14 requests

  Scenario: items yield to online requests where work counts
    Given a host and servers of the speeds 0.7, 0.7 and 1.7
    When each has completed 8 requests
    And items fill all servers
    Then a request is still placed and 1 item has to yield

  Scenario Outline: what a request states as <counts> and <hint>
    Then the counts "<counts>" and the hint "<hint>" are read as <prompt>, <maximum> and <tokens>

    Examples:
      | counts  | hint | prompt | maximum | tokens |
      | 60,40   | 12   | 60     | 40      | 12     |
      | 60      | x    | 0      | 0       | 0      |
      | -1,40   | 1e9  | 0      | 40      | 0      |
      | 1,2,3   | ²    | 0      | 0       | 0      |

  Scenario: a host learns from forwarded requests and from items
    When a stream and an item have whole answers of 6 events for hints of 3
    Then 6 events are expected for a hint of 3

  Scenario: a stream that breaks off teaches nothing
    When a stream breaks off after 2 events for a hint of 3
    Then 3 events are expected for a hint of 3

  Scenario: the size of an item is stored with its job
    Then an item with a size and one of the release before are read as stored

  Scenario: the configuration states the memory of engines
    Then a configuration with services of 500 tokens and without an engine is read
