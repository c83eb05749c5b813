Feature: Results that are read from the owner of their job

  Scenario: results are read without calls to the platform
    Given a host that reads the results of a job of another host
    When the owner lists 2 results
    Then 20 reads get 2 results with 0 platform calls

  Scenario: a job without results is known to have none
    Given a host that reads the results of a job of another host
    Then 20 reads get 0 results with 0 platform calls

  Scenario: an owner that does not answer is passed over for a while
    Given a host that reads the results of a job of another host
    When the owner lists 2 results
    And the owner does not answer
    Then 20 reads get 2 results with 20 platform calls
    And the owner was asked 1 time
    When the reader waits for 2.1 seconds
    Then 1 reads get 2 results with 1 platform calls
    And the owner was asked 2 times

  Scenario: a write without an answer leaves the owner in doubt until its next write
    Given a host that reads the results of a job of another host
    When the owner lists a result whose write takes effect late
    Then 1 reads get 0 results with 1 platform calls
    When the late write takes effect
    Then 1 reads get 1 results with 1 platform calls
    When the owner lists 2 results
    Then 20 reads get 2 results with 0 platform calls

  Scenario: an owner that may have lost the job unnoticed asks the platform
    Given a host that reads the results of a job of another host
    When the owner lists 2 results
    And the owner does not know the state of the platform
    Then 5 reads get 2 results with 5 platform calls

  Scenario: a host that has lost the job does not answer from memory
    Given a host that reads the results of a job of another host
    When the owner lists 1 result
    And another host takes the job over and lists 1 more result
    Then 5 reads get 2 results with 5 platform calls

  Scenario: what a host has read before it takes a job over hides no later results
    Given a host that reads the results of a job of another host
    When the owner lists 1 result
    And the third host reads 1 result for a caller
    And the owner lists 2 results
    Then 1 reads get 2 results with 0 platform calls
    When the third host takes the job over
    Then 3 reads get 2 results with 3 platform calls
    And a host that has read nothing yet gets 2 results

  Scenario: what the new owner of a job has loaded hides no results of an owner that writes on
    Given a host that reads the results of a job of another host
    When the owner lists 1 result
    And the third host takes the job over and loads its results
    And the owner lists 2 results
    Then 3 reads get 2 results with 3 platform calls

  Scenario: a host lists no fewer results than it has listed, whatever an owner answers
    Given a host that reads the results of a job of another host
    When the owner lists 2 results
    Then 1 reads get 2 results with 0 platform calls
    When the owner answers as if it had listed nothing
    Then 3 reads get 2 results with 0 platform calls

  Scenario: a host that has lost its job unnoticed lists nothing after the new owner has
    Given a host that reads the results of a job of another host
    When the owner lists 1 result
    And another host takes the job over unnoticed and lists 1 more result
    Then the owner cannot list another result

  Scenario: a host that has lost its job unnoticed lists nothing after it has read the new owner's results
    Given a host that reads the results of a job of another host
    When the owner lists 1 result
    And another host takes the job over unnoticed and lists 1 more result
    And the owner reads 2 results for a caller
    Then the owner cannot list another result

  Scenario: a host whose write another one has followed asks the platform
    Given a host that reads the results of a job of another host
    When the owner lists a result that another host follows before the answer
    Then 3 reads get 3 results with 1 platform calls
