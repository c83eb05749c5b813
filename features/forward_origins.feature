Feature: Where streams began, and how hosts learn it

  Scenario Outline: <hosts> hosts find the version of any stream while two serve
    Given <hosts> hosts with servers of the versions "v1,v2"
    When 60 streams begin at hosts in turn
    Then each stream was told to at most 4 hosts
    And every stream is found with its version at 5 hosts

    Examples:
      | hosts |
      | 1     |
      | 3     |
      | 20    |
      | 390   |

  Scenario: streams of the only version go on and nothing is told
    Given 20 hosts with servers of the versions "v1"
    When 16 seconds pass for all hosts
    And 60 streams begin at hosts in turn
    Then each stream was told to at most 0 hosts
    And every stream is found with its version at 5 hosts

  Scenario: streams that began before another version came are told then
    Given 20 hosts with servers of the versions "v1"
    When 16 seconds pass for all hosts
    And 60 streams begin at hosts in turn
    And the servers are those of "v1,v2"
    And all hosts exchange what they know
    Then every stream is found with its version at 5 hosts

  Scenario Outline: <hosts> hosts that all start anew find what was written
    Given <hosts> hosts with servers of the versions "v1,v2"
    When 60 streams begin at hosts in turn
    And all hosts exchange what they know
    And all hosts start anew and read the platform
    Then every stream is found with its version at 5 hosts

    Examples:
      | hosts |
      | 20    |
      | 390   |

  Scenario: hosts that are left read what lost hosts have written
    Given 20 hosts on the wall clock with servers of the versions "v1,v2"
    When 30 streams begin at the first 18 hosts
    And all hosts exchange what they know
    And these hosts are lost
    Then every stream is found at the other hosts with at most 4 reads

  Scenario: a read for a lost stream does not keep a version that has left
    Given 1 hosts with servers of the versions "v1,v2"
    When 16 seconds pass for all hosts
    And all hosts exchange what they know
    And the servers are those of "v2"
    And 10 seconds pass for all hosts
    Then a stream that nobody knows is not found
    When 6 seconds pass for all hosts
    Then a stream that nobody knows is taken for one of "v2"

  Scenario: a stream that no host knows is not taken for one of either version
    Given 20 hosts with servers of the versions "v1,v2"
    When 60 streams begin at hosts in turn
    And all hosts start anew and read the platform
    Then no stream is found at 5 hosts

  Scenario: a version that has left while all hosts were down is remembered
    Given 20 hosts with servers of the versions "v1"
    When all hosts exchange what they know
    And 16 seconds pass for all hosts
    And 60 streams begin at hosts in turn
    And the servers are those of "v2" when all hosts start anew
    Then no stream is found at 5 hosts
    When 16 seconds pass for all hosts
    Then every stream is taken for one of "v2" at 5 hosts

  Scenario: a fleet that starts with one version serves it after a restart at once
    Given 20 hosts with servers of the versions "v1"
    When all hosts exchange what they know
    And 16 seconds pass for all hosts
    And 60 streams begin at hosts in turn
    And all hosts start anew and read the platform
    Then every stream is found with its version at 5 hosts

  Scenario: a host that reaches neither the platform nor others relies on no single version
    Given 20 hosts with servers of the versions "v1"
    When 16 seconds pass for all hosts
    And 60 streams begin at hosts in turn
    And the last host is cut off
    Then no stream of another host is found at the last host

  Scenario: a host that is out of step relies on no single version
    Given 20 hosts with servers of the versions "v1"
    When 16 seconds pass for all hosts
    And the last host falls out of step with the platform and the others
    And the servers are those of "v1,v2"
    And 30 streams begin at the first 18 hosts
    Then no stream of another host is found at the last host

  Scenario: a host that reaches only the platform takes up streams of one version
    Given 20 hosts with servers of the versions "v1"
    When 16 seconds pass for all hosts
    And 30 streams begin at the first 18 hosts
    And the last host falls out of step with the platform and the others
    Then every stream of another host is found at the last host

  Scenario: a host that does not answer holds a stream up only for a moment
    Given 3 hosts on the wall clock with servers of the versions "v1,v2"
    When the other hosts fall silent
    Then the first host says within 1 second that it does not know a stream

  Scenario: all hosts together write at a bounded rate
    Given 390 hosts with servers of the versions "v1,v2"
    When streams begin at every host for 10 seconds
    Then at most 1200 writes were made
    And there are at most 391 objects on the platform

  Scenario: objects of lost hosts are removed
    Given 20 hosts with servers of the versions "v1,v2"
    When 60 streams begin at hosts in turn
    And all hosts exchange what they know
    And 130 seconds pass for all hosts
    And every host removes abandoned objects
    Then there are at most 1 objects on the platform

  Scenario: an object that cannot be read is left out
    Given 20 hosts with servers of the versions "v1,v2"
    When 60 streams begin at hosts in turn
    And all hosts exchange what they know
    And the platform has an object of another writer
    And all hosts start anew and read the platform
    Then every stream is found with its version at 5 hosts

  Scenario: origins and questions pass between hosts unchanged
    When a notice with a known and an unknown origin and a question is sent
    Then it arrives as it was

  Scenario Outline: only the platform's own list confirms that a version serves alone
    Given a platform with servers of "<versions>" that <answers>
    Then it is <confirmed> that "v1" serves alone

    Examples:
      | versions | answers         | confirmed     |
      | v1       | answers         | confirmed     |
      | v1,v2    | answers         | not confirmed |
      | v1       | does not answer | not confirmed |
