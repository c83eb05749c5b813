Feature: How long an item stays off servers

  Scenario: no sequence of ends keeps an item off for longer than 2 seconds
    When runs of an item end in any sequence
    Then it may start again 2 seconds after each end

  Scenario: an item that is preempted again and again may start at once
    Given a job of one item
    When 50 runs of it are preempted
    Then it may start at once

  Scenario: no sequence of failures keeps items off free servers for longer than 15 seconds
    When 2 servers fail, refuse and recover in any sequence at 3 hosts
    Then an item of each host starts within 15 seconds of the last failure

  Scenario: items start within 2 seconds once online requests leave their slots
    Given a host whose items are preempted by online requests of another host
    When the other host is lost with its requests
    Then an item starts within 2 seconds
