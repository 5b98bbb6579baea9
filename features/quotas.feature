Feature: quotas of accounts over all gateways

  Scenario Outline: an account below its quota is refused
    Given an account of <rate> requests a second, and <burst> at once, at 68 gateways
    When it sends 0.6 times its rate while nothing else happens, with 3 seeds
    Then at most 0.02 of its requests are refused
    And in no window more than the quota allows has run

    Examples:
      | rate | burst |
      | 2    | 2     |
      | 5    | 5     |
      | 12   | 12    |
      | 32   | 32    |
      | 864  | 864   |

  Scenario Outline: an account that sends many times its quota gets more than that
    Given an account of <rate> requests a second, and <rate> at once, at <gateways> gateways
    When it sends 4.7 times its rate while <event>, with 3 seeds
    Then in no window more than the quota allows has run
    And at least <used> of its rate is used

    Examples:
      | rate | gateways | used | event                                       |
      | 5    | 68       | 0.9  | nothing else happens                        |
      | 32   | 12       | 0.9  | nothing else happens                        |
      | 200  | 68       | 0.9  | nothing else happens                        |
      | 5    | 68       | 0.7  | the leader changes                          |
      | 32   | 68       | 0.7  | the leader changes                          |
      | 32   | 68       | 0.5  | no leader is heard for 3 s                  |
      | 200  | 68       | 0.5  | no leader is heard for 3 s                  |
      | 32   | 68       | 0.5  | a third of the gateways is cut off for 4 s  |
      | 200  | 12       | 0.5  | a third of the gateways is cut off for 4 s  |
      | 32   | 68       | 0.5  | half of the gateways freezes for 3 s        |
      | 32   | 68       | 0.5  | all gateways start again                    |
      | 200  | 68       | 0.5  | all gateways start again                    |
      | 5    | 5        | 0.5  | gateways end one after the other            |
      | 32   | 6        | 0.5  | gateways end one after the other            |
      | 32   | 68       | 0.5  | a third is cut off while the leader changes |
      | 200  | 68       | 0.5  | half starts again while no leader is heard  |

  Scenario: a lowered quota holds one window later
    Given an account of 100 requests a second, and 100 at once, at 68 gateways
    When its quota falls to a tenth while it sends its earlier rate
    Then one window later no window has more than the new quota allows
