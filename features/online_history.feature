Feature: Callers' responses agree with the engines' histories

  Scenario Outline: concurrent callers while engines are <fault>
    Given entry hosts before four engines and a booking service
    And one engine that is <fault>
    When callers send chats and reservations concurrently and resend some
    Then every complete answer belongs to its own request
    And no chat that was reported as not run has run
    And no key and no reservation ran twice
    And the attempts are at most 1.2 times the chats
    And at least <least> in 100 chats were answered completely

    Examples:
      | fault           | least |
      | healthy         | 100   |
      | breaking        | 95    |
      | ending early    | 95    |
      | silent midway   | 95    |
      | mixing streams  | 95    |
      | refusing        | 95    |
      | stopped         | 95    |

  Scenario: a caller that disconnects frees its slot
    Given entry hosts before four engines and a booking service
    When a caller disconnects while its long chat is streamed
    Then the engines are idle before the chat could have ended
