Feature: Daemons on the users' platform, as processes

  Scenario: a stream and a job are served whole
    Given 1 daemon on the users' platform with 2 engines
    When a stream is asked for
    Then the stream is whole and signed by its engine
    When a job of 4 items is submitted
    Then all 4 results can be read and stay where they are

  Scenario: a host that knows no configuration refuses for the time being
    Given 1 daemon on the users' platform without a configuration
    Then a request is answered 503 and the host is not ready
    When the configuration is written
    Then the host is ready and a request is answered 200

  Scenario: a planned stop cuts off no stream
    Given 1 daemon on the users' platform with 2 engines
    And the engines take 1.5 seconds for a stream
    When a stream is asked for and the daemon is told to stop
    Then the stream is whole and signed by its engine
    And the daemon ends by itself

  Scenario: a caller that leaves frees the engine
    Given 1 daemon on the users' platform with 1 engines
    And the engines take 4 seconds for a stream
    When a stream is asked for and its caller leaves
    Then the engine sees the call end

  Scenario: a host that is killed loses no item
    Given 2 daemons on the users' platform with 2 engines
    And the engines take 1.5 seconds for a stream
    When a job of 4 items is submitted
    And the host that works on the job is killed
    Then the other host lists all 4 results once

  Scenario: a host that the platform turns away works through another
    Given 2 daemons on the users' platform with 2 engines
    When the platform turns the first host away
    And a job of 4 items is submitted
    Then all 4 results can be read and stay where they are

  Scenario: an engine that says that it leaves gets nothing more
    Given 1 daemon on the users' platform with 2 engines
    When the first engine says that it is leaving
    And 12 streams are asked for
    Then the first engine has got none of them

  Scenario: a reload of wrong settings changes nothing
    Given 1 daemon on the users' platform with 2 engines
    When its settings file is spoilt and it is told to reload
    Then a request is answered 200 and the log names the fault
