Feature: elections

  Scenario: hosts with the same seed wait for different times
    Given election timers of 5 hosts with the same seed
    Then no two of them are due within 10 ms

  Scenario: a host with the same seed waits for the same time on every run
    Given election timers of 5 hosts with the same seed
    Then the same timers are due at the same times again

  Scenario: a leader notices that no quorum answers
    Given a leader whose quorum has answered at 1000
    Then its quorum is fresh at 1900
    But its quorum is not fresh at 2000
