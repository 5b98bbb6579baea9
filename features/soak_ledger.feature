Feature: what the soak's ledger takes for a broken promise

  Scenario Outline: callers at gateways that are cut off from all servers
    Given one gateway that is cut off for 10 s and serves none of its 100 requests
    And another that serves all of its 100 and <state>
    Then the ledger reports <count> broken promises

    Examples:
      | state               | count |
      | is undisturbed      | 1     |
      | stops all the while | 0     |

  Scenario Outline: runs of a request that crashes servers
    Given a request that crashed 3 servers by 5 s
    And <count> requests of its kind that run from <start_s> s on
    Then the ledger reports <broken> broken promises

    Examples:
      | count | start_s | broken |
      | 3     | 10      | 0      |
      | 4     | 10      | 1      |
      | 9     | 6       | 0      |
