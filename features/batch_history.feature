Feature: The history of batch work over sockets agrees with what was accepted

  Scenario: hosts are killed, the platform fails and submissions are resent
    Given four batch hosts on a platform stand-in that loses answers
    When batches are submitted and resent while hosts die and the platform is out
    Then every accepted batch item has one outcome that agrees with its runs
