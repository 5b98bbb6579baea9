Feature: whatever bytes a peer sends are decoded or refused

  Scenario Outline: changed messages of each kind, as <reader> reads them
    When <count> changed bodies of each kind are read as <reader> with seed <seed>
    Then each is decoded or refused as malformed
    And at least 5 percent are decoded and 5 percent refused

    Examples:
      | reader               | count | seed |
      | a request            | 300   | 1    |
      | an answer            | 300   | 2    |
      | a replicated command | 300   | 3    |
      | a snapshot           | 300   | 4    |
      | a packed view        | 300   | 5    |
      | packed changes       | 100   | 6    |
