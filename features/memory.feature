Feature: memory of hosts through many large changes

  Scenario: deltas are bounded in bytes, not only in number
    Given the replicated state of a control host and the view of a gateway
    When 120 configurations of 400 routes follow each other
    Then each keeps 2 MiB of deltas at most, and the latest one
    And a host that is behind by more than that gets the whole view

  Scenario: a snapshot of an earlier build with more deltas is cut to the bound
    Given the replicated state of a control host and the view of a gateway
    When a snapshot with 120 deltas of 400 routes is read
    Then each keeps 2 MiB of deltas at most, and the latest one

  Scenario Outline: a log is compacted by its entries or by its bytes
    Given a log that is compacted at 100 entries or 5000 bytes
    When <count> entries of <size> bytes are applied
    Then a snapshot is <verdict>

    Examples:
      | count | size | verdict |
      | 99    | 10   | not due |
      | 100   | 0    | due     |
      | 10    | 499  | not due |
      | 10    | 500  | due     |

  Scenario: a control host through hundreds of large changes keeps its log small
    Given a control host whose log is compacted at 500000 bytes
    When 200 configurations of 100 routes are accepted
    Then its log never held more than 1000000 bytes
    And after a restart it has the last configuration
