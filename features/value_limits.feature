Feature: numbers at the largest values that are valid

  Scenario: a number of a configuration at its largest valid value keeps requests from being served
    Given a gateway of the platform before a backend server
    When each number of a configuration in turn, and then all, have their largest valid value
    Then the configuration is valid each time, and the same after it is written and read
    And each time requests with a length, with chunks and with trailers are served

  Scenario Outline: a head is measured by another limit than the one in force
    Given a gateway of the platform before a backend server
    When the limit of heads is <limit> bytes
    Then a head of <size> bytes gets <status>

    Examples:
      | limit               | size  | status |
      | 1                   | 200   | 431    |
      | 199                 | 200   | 431    |
      | 200                 | 200   | 200    |
      | 2147483648          | 20000 | 200    |
      | 4294967294          | 20000 | 200    |
      | 4294967295          | 20000 | 200    |
      | 4294967296          | 20000 | 200    |
      | 9223372036854775807 | 20000 | 200    |

  Scenario: a head that no buffer can hold closes its connection without an answer
    Given a gateway of the platform before a backend server
    When the limit of heads is 9223372036854775807 bytes
    Then a head of 17000000 bytes gets 431

  Scenario Outline: a number in a refusal of a server ends a request that another server can answer
    Given a gateway of the platform before a backend server
    And another instance refuses each request that may run once with "<line>"
    Then each of 10 such requests is served

    Examples:
      | line                                     |
      | Retry-After: 1e308                       |
      | Retry-After: 9223372036854775807         |
      | Retry-After: 1e999                       |
      | X-Server-Load: 65535,65535,65535,1e308   |
      | X-Server-Load: 0,0,9223372036854775807   |
      | Keep-Alive: timeout=9223372036854775807  |

  Scenario Outline: a number in a header of a caller ends its request
    Given a gateway of the platform before a backend server
    Then a request with "<line>" gets <status>

    Examples:
      | line                                 | status |
      | X-Deadline-Ms: 1e308                 | 200    |
      | X-Deadline-Ms: 9223372036854775807   | 200    |
      | X-Deadline-Ms: 1e999                 | 200    |
      | Content-Length: 9223372036854775807  | 413    |

  Scenario: a relayed answer of the latest start names no server that leaves
    Then each start and version up to the largest is read as it was written

  Scenario: a heartbeat with the largest numbers is refused, or its server is not used
    Given a gateway of the platform before a backend server
    When its server sends a heartbeat in which all numbers have their largest valid value
    Then the heartbeat is the same after it is written and read
    And requests with a length, with chunks and with trailers are served once it is warm
