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

  Scenario Outline: requests with a body of 7000 bytes around the first configuration
    Given a configuration that allows bodies of <limit> bytes, acknowledged at 1 s
    And a request with a large body that is sent at <sent_s> s and answered <status>
    Then the ledger reports <count> broken promises

    Examples:
      | limit  | sent_s | status | count |
      | 4096   | 2      | 200    | 0     |
      | 4096   | 2      | 400    | 0     |
      | 4096   | 4      | 200    | 1     |
      | 100000 | 2      | 400    | 1     |

  Scenario Outline: runs of a route whose home moves
    Given a configuration that allows bodies of 4096 bytes, acknowledged at 0 s
    And another that allows bodies of 4096 bytes, acknowledged at 10 s
    And the home of a route is north in the first one and south in the other
    And a request of that route that is sent at <sent_s> s and runs in <domain>
    Then the ledger reports <count> broken promises

    Examples:
      | sent_s | domain  | count |
      | 9      | north-b | 0     |
      | 9      | south-a | 1     |
      | 11     | north-b | 0     |
      | 11     | south-a | 0     |
      | 13     | north-b | 1     |
      | 13     | south-a | 0     |

  Scenario Outline: runs of a request that crashes servers
    Given a request that crashed 3 servers by 5 s
    And <count> requests of its kind that run from <start_s> s on
    Then the ledger reports <broken> broken promises

    Examples:
      | count | start_s | broken |
      | 3     | 10      | 0      |
      | 4     | 10      | 1      |
      | 9     | 6       | 0      |

  Scenario Outline: repeats in any window count, not only in the last one
    Given <repeats> requests that run twice within 5 s, and 100 that run once a minute later
    Then the ledger reports <count> broken promises

    Examples:
      | repeats | count |
      | 90      | 1     |
      | 60      | 0     |

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

  Scenario Outline: requests at a server that has said that it leaves
    Given a gateway that passes on at 10 s that a server leaves
    And that gateway <event>
    And a request that is sent at <sent_s> s and reaches <server> from <gateway>
    Then the ledger reports <count> broken promises

    Examples:
      | event                   | sent_s | server         | gateway         | count |
      | runs on                 | 12.4   | that server    | that gateway    | 0     |
      | runs on                 | 12.6   | that server    | that gateway    | 1     |
      | runs on                 | 12.6   | another server | that gateway    | 0     |
      | runs on                 | 12.6   | that server    | another gateway | 0     |
      | starts again at 12 s    | 13     | that server    | that gateway    | 0     |
      | starts again at 9 s     | 13     | that server    | that gateway    | 1     |
      | had another gateway ask | 12.6   | that server    | that gateway    | 1     |
      | had another gateway ask | 12.6   | that server    | another gateway | 1     |

  Scenario Outline: a gateway that knew of a departure before it started again learns of it again
    Given a gateway that passes on at 10 s that a server leaves
    And that gateway starts again at 11 s
    And that gateway passes on so again at 12 s
    And a request that is sent at <sent_s> s and reaches that server from that gateway
    Then the ledger reports <count> broken promises

    Examples:
      | sent_s | count |
      | 14     | 0     |
      | 15     | 1     |

  Scenario Outline: requests at a server that wants none for a while
    Given a refusal to a gateway at 10 s, by a server that wants none for 2 s
    And that gateway <event>
    And <requests> requests that reach it from that gateway from <first_s> s on
    Then the ledger reports <count> broken promises

    Examples:
      | event                                          | requests | first_s | count |
      | runs on                                        | 2        | 11      | 0     |
      | runs on                                        | 3        | 11      | 1     |
      | runs on                                        | 9        | 10.1    | 0     |
      | runs on                                        | 9        | 12.1    | 0     |
      | starts again at 11 s                           | 3        | 11      | 0     |
      | starts again at 9 s                            | 3        | 11      | 1     |
      | is cut off from all servers from 9 to 10.5 s   | 3        | 11      | 0     |
      | is cut off from all servers from 5 to 9 s      | 3        | 11      | 1     |
      | meets a loop that is blocked from 10.1 to 11 s | 3        | 11      | 0     |

  Scenario Outline: requests that reach a server after its departure
    Given a server whose departure was acknowledged at 10 s
    And a request that is sent at <sent_s> s and reaches it at <reached_s> s
    And a loop that was blocked for <stalled_s> s until then
    Then the ledger reports <count> broken promises

    Examples:
      | sent_s | reached_s | stalled_s | count |
      | 12.0   | 12.4      | 0         | 0     |
      | 12.0   | 12.9      | 0         | 1     |
      | 9.0    | 12.9      | 0         | 1     |
      | 12.0   | 12.9      | 0.5       | 0     |
