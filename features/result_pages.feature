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
