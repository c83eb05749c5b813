Feature: A soak of processes under faults, judged by callers and engines

  Scenario Outline: the checker reports <promise> if <what>
    Given a soak on which <what>
    Then it reports the promise "<promise>"

    Examples:
      | promise | what                                        |
      | MIXED   | a caller gets another request's events      |
      | TWICE   | two engines run a request that may run once |
      | REFUSED | a request runs that was refused as not run  |
      | CONFIG  | a route is not served in time               |
      | CONFIG  | a route is served and then not              |
      | CONFIG  | a host that was paused learns too late      |
      | DRAIN   | an engine gets requests long after it left  |
      | LOST    | a stop cuts a request on a kept connection  |
      | LOST    | an item is not listed                       |
      | LOST    | an item is listed twice                     |
      | EXIT    | a process ends by itself                    |
      | RECOVER | a request is not served after all faults    |

  Scenario Outline: the checker allows that <what>
    Given a soak on which it is allowed that <what>
    Then it reports nothing

    Examples:
      | what                                          |
      | a route is not served yet                     |
      | a paused host has just gone on                |
      | no host hears the platform for a while        |
      | an engine gets requests when it has just left |
      | a refused request never ran                   |
      | a killed host cuts a request on a kept connection |
      | the run of a request is unknown               |
      | an item is listed once                        |

  Scenario: a seed always draws the same faults, which can be read again
    Given the schedule of seed 7
    Then the seed draws the same schedule again
    And its file holds the same schedule

  Scenario: a short soak breaks no promise
    When seed 1 is played for 14 seconds on 3 hosts
    Then it reports nothing

  # Guards against requests on kept connections that a stop cuts.
  Scenario: a stop among callers that keep their connections breaks no promise
    When a host is stopped and reloaded while callers keep their connections
    Then it reports nothing
