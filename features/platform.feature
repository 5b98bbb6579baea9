Feature: the adapter to the users' platform

  Scenario: a configuration is read back as it was put
    Given a configuration as an operator puts it
    When it is decoded, applied and encoded
    Then the resources are those that were put
    And its times are in milliseconds and its split has two targets

  Scenario Outline: a document that cannot be decoded is refused
    Given a configuration as an operator puts it
    When <fault>
    Then it is refused as malformed before it reaches the state

    Examples:
      | fault                            |
      | it is cut short                  |
      | its version is no number         |
      | a timeout is text                |
      | a route's kind is not known      |
      | a route has no host              |

  Scenario Outline: a service that a route names beside its split has to be known
    Given a configuration as an operator puts it
    When a route names the service <service> beside its split
    Then the configuration is <verdict>
    And the service gets none of the requests of the route beside its share

    Examples:
      | service | verdict                     |
      | stock   | valid                       |
      | spare   | valid                       |
      | missing | refused for its service     |

  Scenario: unknown fields are ignored
    Given a configuration as an operator puts it
    When a route has an unknown field
    Then it is decoded

  Scenario: a heartbeat is decoded
    Given a heartbeat as an instance sends it
    Then it names a ready server that is cold for 1500 ms

  Scenario Outline: a heartbeat with an invalid field is refused
    Given a heartbeat as an instance sends it
    When the instance sends <value> as its <field>
    Then it is refused as malformed

    Examples:
      | field   | value     |
      | state   | "resting" |
      | slots   | "four"    |
      | slots   | 0         |
      | address | "nowhere" |
      | seq     | null      |
      | born    | 1.5       |
      | service | 7         |

  Scenario Outline: an answer's headers are read
    When a server answers <status> with <headers>
    Then its answer is read as <meaning>

    Examples:
      | status | headers                | meaning           |
      | 200    | X-Server-Stamp: s      | its own           |
      | 200    | Other: s               | not its own       |
      | 503    | X-Not-Run: 1           | not run           |
      | 421    | Other: s               | misdirected       |
      | 503    | X-Server-Stamp: s      | run               |
      | 200    | X-Server-Load: 3,2,4   | 3 running of 4    |
      | 200    | X-Server-Load: 3,x     | no load           |
      | 200    | X-Server-Load: 3,2     | no load           |
      | 200    | X-Server-Load: 3,-2,4  | no load           |
      | 200    | X-Server-Load: 3,2,4,150     | 3 running of 4, half as long again |
      | 200    | X-Server-Load: 3,2,4,150,9,x | 3 running of 4, half as long again |
      | 200    | X-Server-Load: 3,2,4,x       | 3 running of 4    |
      | 200    | X-Server-Load: 3,2,4,0       | 3 running of 4    |

  Scenario: a request's headers are read and written
    When a request arrives with a deadline of 2000 ms and the affinity 17
    Then its metadata is read
    And the server gets its own name and the remaining time

  Scenario: errors have the platform's statuses
    Then a conflict is answered 412, a malformed call 400 and all others 503
