Feature: The cost of polling engines' loads does not grow with the fleet

  Scenario Outline: a host keeps to its polling rate in fleets of any size
    Given a host that may poll 10 servers a second and has polled its zone
    When it has <near> near and <far> far servers and uses 3 for 20 seconds
    Then it polled at most 210 times
    And it polled each server it uses at least 40 times

    Examples:
      | near | far  |
      | 4    | 0    |
      | 10   | 20   |
      | 450  | 2250 |

  Scenario: a new host polls every server of its zone immediately
    Given a host that may poll 10 servers a second and has polled no server
    When it has 450 near and 2250 far servers and uses 0 for 2 seconds
    Then it polled every near server
