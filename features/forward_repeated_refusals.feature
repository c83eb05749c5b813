Feature: Refusals that servers write once more on a kept connection

  Scenario Outline: a refusal that <names> on a kept connection proves nothing
    Given a <kind> route and a server that keeps connections and refuses anew in a way that <names>
    When 2 requests are sent to it
    Then the second caller is not told that its request has not run
    And the second request has been sent once

    Examples:
      | kind           | names                     |
      | non_idempotent | names an earlier request  |
      | non_idempotent | names no request          |

  Scenario: a refusal that names no request on a new connection is taken for one
    Given a non_idempotent route and a server that refuses the first request on each connection
    When 1 requests are sent to it
    Then the last caller is told that its request has not run
