Feature: Which host runs a job whose owner is lost

  Scenario Outline: a job is taken over although the host that comes first <fault>
    Given 5 hosts, of which host-0 owns a job
    And the host that takes it over first <fault>
    When host-0 is lost for 4 seconds
    Then one other host than the first owns the job

    Examples:
      | fault                         |
      | is cut off from the platform  |
      | is stopping                   |
      | does not know of the job      |
      | takes host-0 for alive        |

  Scenario: a job of a lost host is taken over once and by the host that comes first
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost for 30 seconds
    Then the host that comes first owns the job
    And the job has been taken over once

  Scenario: a host that has just started leaves the jobs of hosts that it does not know yet
    Given 5 hosts, of which host-0 owns a job
    When host-1 starts anew, and learns of another host each second for 8 seconds
    Then host-0 owns the job after 10 seconds
    And the job has been taken over 0 times

  Scenario: hosts that have all started anew leave each other the jobs while they learn of each other
    Given 5 hosts, of which host-0 owns a job
    When all hosts start anew, and learn of another host each second for 4 seconds
    Then host-0 owns the job after 10 seconds
    And the job has been taken over 0 times

  Scenario: a job is taken over though none of the hosts, which have all started anew, knows its owner
    Given 5 hosts, of which host-0 owns a job
    When all hosts but host-0 start anew and know each other
    Then one other host owns the job within 5 seconds

  Scenario: a job of an unknown host is taken over though other hosts come and go all the time
    Given 5 hosts, of which host-0 owns a job
    When all hosts but host-0 start anew, and learn of another host each second for 14 seconds
    Then one other host owns the job within 0 seconds

  Scenario: a job that its leaving host cannot pass on is taken over
    Given 5 hosts, of which host-0 owns a job
    When host-0 leaves and its write that passes the job on fails
    Then one other host owns the job within 4 seconds

  Scenario: a job that is passed on to a host that is lost at once is taken over
    Given 5 hosts, of which host-0 owns a job
    When host-0 passes the job on to host-3 and leaves, and host-3 is lost
    Then one other host owns the job within 4 seconds

  Scenario: a job whose host is lost before it looks at it once is taken over
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost for 4 seconds
    Then one other host owns the job within 0 seconds

  Scenario: an owner that comes back after its job was taken over leaves it
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost for 4 seconds
    And host-0 is back
    Then one other host owns the job within 4 seconds

  Scenario: an owner that is back within a second keeps its job
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost for 1 seconds
    And host-0 is back
    Then host-0 owns the job after 10 seconds

  Scenario: a host that is suspended while an owner restarts leaves it its job when it resumes
    Given 5 hosts, of which host-0 owns a job
    When the host that comes first is suspended for 6 seconds, just after host-0 has left to restart
    Then host-0 owns the job after 10 seconds
    And the job has been taken over 0 times

  Scenario: a host that claims a job after another one leaves it to that host
    Given 5 hosts, of which host-0 owns a job
    When host-0 is lost, and host-1 claims its job before host-2, which has not learned of it
    Then host-1 owns the job and host-2 knows it

  Scenario: a claim that waits until another host owns the job asks the platform nothing
    Given 5 hosts, of which host-0 owns a job
    When host-1 claims the job, and host-2 learns so while its own claim waits
    Then host-1 owns the job and host-2 has called the platform 0 times

  Scenario: a host keeps a job that it has taken over until its mirrors show that
    Given 5 hosts, of which host-0 owns a job
    When host-1 and then host-2 take it over
    And host-2 learns of another job before its mirrors show its claim
    Then host-2 takes itself for the owner

  Scenario: a host that has lost a job again gives it up though it learns so before its own claim
    Given 5 hosts, of which host-0 owns a job
    When host-1 takes it over, and host-2 from it before host-1 has recorded its claim
    Then host-1 takes host-2 for the owner

  Scenario: results of a claimed job are not listed while its earlier owner may answer without them
    Given 5 hosts, of which host-0 owns a job
    When host-1 claims the job and completes an item
    Then host-1 lists 0 results after 5 seconds
    And host-1 lists 1 result after 6 seconds

  Scenario: results of a claimed job that is passed on are not listed earlier
    Given 5 hosts, of which host-0 owns a job
    When host-1 claims the job and passes it on to host-2, which completes an item
    Then host-2 lists 0 results after 5 seconds
    And host-2 lists 1 result after 6 seconds

  Scenario: results of a job whose claim takes effect late are not listed earlier
    Given 5 hosts, of which host-0 owns a job
    When host-1 claims the job without an answer and completes an item
    Then host-1 lists 0 results after 5 seconds
    And host-1 lists 1 result after 6 seconds

  Scenario: a host that passes on a job that it has lost unnoticed leaves it to its new owner
    Given 5 hosts, of which host-0 owns a job
    When host-1 claims the job, and host-0 passes it on to host-3 before it learns so
    Then one host owns the job, which is host-1

  Scenario: results of a job that was passed on are listed at once
    Given 5 hosts, of which host-0 owns a job
    When host-0 passes the job on to host-1, which completes an item
    Then host-1 lists 1 result after 0 seconds

  Scenario: each job has one owner soon after views agree, whatever hosts saw before
    When hosts own jobs in any sequence of views and faults
    Then each open job has had one owner within 6.5 seconds of healing
