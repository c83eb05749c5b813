Feature: What callers were told agrees with what ran

  Scenario Outline: concurrent callers while engines are <fault>
    Given entry hosts before four engines and a booking service
    And one engine that is <fault>
    When callers send chats and reservations at once and resend some
    Then every answer that looks whole is the one to its own request
    And what was refused as not run did not run
    And no key and no reservation ran twice
    And the attempts are at most 1.2 times the chats
    And at least <least> in 100 chats were answered whole

    Examples:
      | fault           | least |
      | sound           | 100   |
      | breaking        | 95    |
      | ending early    | 95    |
      | silent midway   | 95    |
      | crossing        | 95    |
      | refusing        | 95    |
      | gone            | 95    |

  Scenario: a caller that leaves frees its slot
    Given entry hosts before four engines and a booking service
    When a caller leaves while its long chat streams
    Then the engines are idle before the chat could have ended
