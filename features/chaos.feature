Feature: failures together

  Scenario Outline: failures at random, one on top of the other, break no promise
    Given a deployment of <user> with 3 control and 4 entry hosts
    When 8 failures come at random with seed <seed> while callers send
    Then every request that was started has ended
    And no invariant is broken
    And the system answers again

    Examples:
      | user       | seed |
      | golau-beic | 5    |
      | halvorsen  | 6    |
