Feature: Daemons on the users' platform, as processes

  # Guards against hosts that a reload signal ends while they start.
  Scenario: a daemon that is told to reload before its modules are imported goes on
    Given a daemon that is importing its modules
    When it gets a reload signal then
    Then it goes on to import them

  Scenario: a stream and a job are served whole
    Given 1 daemon on the users' platform with 2 engines
    When a stream is requested
    Then the stream is whole and signed by its engine
    When a job of 4 items is submitted
    Then all 4 results can be read at stable positions

  Scenario: a host refuses requests until it has a configuration
    Given 1 daemon on the users' platform without a configuration
    Then a request is answered 503 and the host is not ready
    When the configuration is written
    Then the host is ready and a request is answered 200

  Scenario: a planned stop interrupts no stream
    Given 1 daemon on the users' platform with 2 engines
    And the engines take 1.5 seconds for a stream
    When a stream is requested and the daemon gets a stop signal
    Then the stream is whole and signed by its engine
    And the daemon exits by itself

  Scenario: a call ends at the engine when its caller disconnects
    Given 1 daemon on the users' platform with 1 engines
    And the engines take 4 seconds for a stream
    When a stream is requested and its caller disconnects
    Then the engine sees the call end

  Scenario: no item is lost when a host is killed
    Given 2 daemons on the users' platform with 2 engines
    And the engines take 1.5 seconds for a stream
    When a job of 4 items is submitted
    And the host that works on the job is killed
    Then the other host lists all 4 results once

  Scenario: a host that the platform rejects reaches it through a peer
    Given 2 daemons on the users' platform with 2 engines
    When the platform rejects the first host
    And a job of 4 items is submitted
    Then all 4 results can be read at stable positions

  Scenario: an engine that is draining gets no more requests
    Given 1 daemon on the users' platform with 2 engines
    When the first engine is marked as draining
    And 12 streams are requested
    Then the first engine has received none of them

  Scenario: a reload of invalid settings changes nothing
    Given 1 daemon on the users' platform with 2 engines
    When its settings file is made invalid and it gets a reload signal
    Then a request is answered 200 and the log names the error

  # Guards against a host that hangs once the pipe of its log is full.
  Scenario: a host whose log nobody reads goes on serving
    Given 1 daemon whose log nobody reads with 2 engines
    When 400 streams are requested
    And a job of 4 items is submitted
    Then all 4 results can be read at stable positions
