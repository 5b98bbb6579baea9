Feature: shares of a contract's limits

  Scenario: the sum of the shares never exceeds the limit
    Given a limit of 100 requests a second and 10 entry hosts
    When demand moves at random between the hosts for 300 renewals with seed 7
    And a tenth of the replies are lost
    Then the shares that hosts may use never add up to more than the limit

  Scenario: shares move to where the demand is
    Given a limit of 100 requests a second and 10 entry hosts
    When only host 3 has demand for 40 renewals
    Then host 3 may use more than 75 requests a second

  Scenario: the first host to ask does not take the whole limit
    Given a limit of 100 requests a second and 10 entry hosts
    When host 1 asks first and host 2 asks next
    Then host 2 may use some of the limit at once

  Scenario: a new leader grants nothing that an earlier one may have granted
    Given a limit of 100 requests a second and 10 entry hosts
    And host 1 holds 90 requests a second from an earlier leader
    When host 2 asks the new leader before host 1 has reported
    Then host 2 may use nothing yet

  Scenario: a host admits no more requests than its share
    Given a host with a share of 10 requests a second and 3 at a time
    When 30 requests arrive at the same instant
    Then no more than 3 are admitted and the others get a retry time
