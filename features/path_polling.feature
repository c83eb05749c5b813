Feature: The cost of knowing engines' loads does not grow with the fleet

  Scenario Outline: a host asks at its rate whatever the fleet's size
    Given a host that may ask 10 servers a second and knows its zone
    When it has <near> near and <far> far servers and uses 3 for 20 seconds
    Then it asked at most 210 times
    And it asked each server it uses at least 40 times

    Examples:
      | near | far  |
      | 4    | 0    |
      | 10   | 20   |
      | 450  | 2250 |

  Scenario: a new host asks every server of its zone at once
    Given a host that may ask 10 servers a second and knows nothing
    When it has 450 near and 2250 far servers and uses 0 for 2 seconds
    Then it asked every near server
