Feature: the budget that all gateways share for retries

  Scenario Outline: the sum of all gateways keeps to the limit of any window
    Given <count> gateways with a retry ratio of 0.2 and a slack of <slack> in 10 s
    And every request wants a retry
    When traffic of <rate> requests a second arrives for 60 s
    And <event>
    Then no window of 10 s has more retries than 0.2 of its requests and <slack>

    Examples:
      | count | slack | rate | event                                        |
      | 10    | 60    | 300  | nothing else happens                         |
      | 10    | 60    | 300  | it rises to three times for 3 s              |
      | 10    | 60    | 300  | half of the gateways die and return          |
      | 10    | 60    | 300  | all gateways restart at once                 |
      | 10    | 60    | 300  | as many gateways join                        |
      | 195   | 430   | 1200 | half of the gateways die and return          |
      | 195   | 430   | 1200 | all gateways restart at once                 |

  Scenario: most of the budget can be used
    Given 195 gateways with a retry ratio of 0.2 and a slack of 430 in 10 s
    And every request wants a retry
    When traffic of 1200 requests a second arrives for 60 s
    And nothing else happens
    Then the gateways used at least 0.8 of what 0.2 of the requests allow

  Scenario: what calm traffic leaves over is there when servers shed
    Given 195 gateways with a retry ratio of 0.2 and a slack of 430 in 10 s
    And requests want a retry only in the last 3 s
    When traffic of 1200 requests a second arrives for 60 s
    And nothing else happens
    Then at least 0.6 of the requests that wanted a retry got one
