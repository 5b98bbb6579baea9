Feature: bounds of the times of routes

  Scenario Outline: a configuration is acknowledged or refused against its bounds
    Given a configuration as an operator puts it
    When its route has a timeout of <timeout> s and an objective of <objective> s
    Then its times are found <outcome>

    Examples:
      | timeout                 | objective               | outcome   |
      | 4.1                     | 64.1                    | refused   |
      | 4.6                     | 64.6                    | refused   |
      | 5.1                     | 65.1                    | refused   |
      | 4.1                     | 64.0                    | taken     |
      | 4.0                     | 64.0                    | refused   |
      | 4.1                     | 64.2                    | refused   |
      | 4.1                     | 64.0999999999999        | taken     |
      | 4.1                     | 64.09999999999999999999 | taken     |
      | 4.10000000000000000001  | 64.1                    | taken     |
      | 0.30000000000000004     | 60.3                    | taken     |
      | 0                       | 60                      | refused   |
      | 0                       | 59.99999999999999999999 | taken     |
      | 600                     | 1                       | taken     |
      | 6e2                     | 65999e-2                | taken     |
      | 600.0000000000000000001 | 1                       | refused   |
      | 599.9999999999999999999 | 660                     | refused   |
      | 1e-9                    | 60                      | taken     |
      | -1                      | 1                       | malformed |
      | 1                       | 1e400                   | malformed |
      | "4.1"                   | 1                       | malformed |
      | 1                       | true                    | malformed |
      | 1                       | "NaN"                   | malformed |

  Scenario: a time with more digits than are compared is taken unchecked
    Given a configuration as an operator puts it
    When its route has a timeout of 1 s and an objective with 10001 digits
    Then its times are found refused

  Scenario: the bounds of times differ between what is sent and what is compared
    When times around each bound are checked with up to 17 decimals
    Then each verdict is that on the figures as they were sent
    And replicas find all that is taken valid

  Scenario: a replica of the build in production refuses what another one takes
    When orders with times around each bound are taken by this build
    Then the build in production applies them all, to the same state as this one
