Feature: what the soak's ledger takes for a broken promise

  Scenario Outline: callers at gateways that are cut off from all servers
    Given one gateway that is cut off for 10 s and serves none of its 100 requests
    And another that serves all of its 100 and <state>
    Then the ledger reports <count> broken promises

    Examples:
      | state               | count |
      | is undisturbed      | 1     |
      | stops all the while | 0     |

  Scenario Outline: requests with a body of 7000 bytes
    Given a configuration that allows bodies of <before> bytes, acknowledged at 0 s
    And another that allows bodies of <after> bytes, acknowledged at 10 s
    And a request with a large body that is sent at <sent_s> s and answered <status>
    Then the ledger reports <count> broken promises

    Examples:
      | before | after  | sent_s | status | count |
      | 4096   | 100000 | 9      | 400    | 0     |
      | 4096   | 100000 | 11     | 400    | 0     |
      | 4096   | 100000 | 13     | 400    | 1     |
      | 4096   | 100000 | 13     | 200    | 0     |
      | 100000 | 4096   | 13     | 200    | 1     |
      | 100000 | 4096   | 11     | 200    | 0     |
      | 100000 | 4096   | 13     | 400    | 0     |

  Scenario Outline: runs of a request that crashes servers
    Given a request that crashed 3 servers by 5 s
    And <count> requests of its kind that run from <start_s> s on
    Then the ledger reports <broken> broken promises

    Examples:
      | count | start_s | broken |
      | 3     | 10      | 0      |
      | 4     | 10      | 1      |
      | 9     | 6       | 0      |

  Scenario Outline: a leader counts once orders are acknowledged and read
    Given a configuration that allows bodies of 4096 bytes, acknowledged at <acked_s> s
    And a read of it that is sent at <read_s> s
    Then a leader <is_known> known since 5 s

    Examples:
      | acked_s | read_s | is_known |
      | 4       | 4      | is not   |
      | 4       | 6      | is not   |
      | 6       | 4      | is not   |
      | 6       | 6      | is       |
