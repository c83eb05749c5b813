Feature: Streams stay at the software version that began them

  Scenario: a stream that breaks off goes on at no other software version
    Given 1 daemon with engines of the versions "v1,v1,v2,v2"
    When the engines break new streams off after 3 events
    And 16 streams are read to their end
    Then no stream has events of two versions
    And all streams are whole

  Scenario: a stream ends visibly if no engine of its version is left
    Given 1 daemon with engines of the versions "v1,v2"
    When the engines break new streams off after 3 events
    And 8 streams are read to their end
    Then no stream has events of two versions

  Scenario: a caller takes a stream up at another host
    Given 3 daemons with engines of the versions "v1,v1,v2,v2"
    When 12 streams are begun at the first daemon
    And their callers take them up at the other daemons
    Then no stream has events of two versions
    And all streams are whole

  Scenario: a caller takes a stream up after its host was killed
    Given 3 daemons with engines of the versions "v1,v1,v2,v2"
    When 12 streams are begun at the first daemon
    And the first daemon is killed
    And their callers take them up at the other daemons
    Then no stream has events of two versions
    And all streams are whole

  Scenario: a caller takes a stream up that began before another version came
    Given 3 daemons with engines of the versions "v1,v1"
    When 12 streams are begun at the first daemon
    And engines of the versions "v2,v2" are added
    And their callers take them up at the other daemons
    Then no stream has events of two versions
    And all streams are whole

  Scenario: callers take streams up after all hosts were killed at once
    Given 3 daemons with engines of the versions "v1,v1,v2,v2"
    When 12 streams are begun at the first daemon
    And 1 seconds have passed
    And all daemons are killed at once and start again
    And their callers take them up at the other daemons
    Then no stream has events of two versions
    And all streams are whole

  Scenario: the old version has left when all hosts are killed at once
    Given 3 daemons with engines of the versions "v1,v1"
    When 12 streams are begun at the first daemon
    And engines of the versions "v2,v2" are added
    And all daemons are killed, the engines of "v1" leave and the daemons start again
    And their callers take them up at the other daemons
    Then no stream has events of two versions

  Scenario: callers take streams of the only version up after all hosts were killed
    Given 3 daemons with engines of the versions "v1,v1"
    When 16 seconds have passed
    And 12 streams are begun at the first daemon
    And all daemons are killed at once and start again
    And their callers take them up at the other daemons
    Then all streams are whole

  Scenario: an item of a job has a text of one version
    Given 1 daemon with engines of the versions "v1,v1,v2,v2"
    When the engines break new streams off after 3 events
    And a job of 8 items is run
    Then the texts of all 8 items are whole and of one version
