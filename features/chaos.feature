Feature: overlapping failures

  Scenario Outline: overlapping random failures break no invariant
    Given a deployment of <user> with 3 control and 4 entry hosts
    When 8 random failures occur with seed <seed> while callers send
    Then every request that was started has ended
    And no invariant is broken
    And the deployment answers again

    Examples:
      | user       | seed |
      | golau-beic | 5    |
      | halvorsen  | 6    |
