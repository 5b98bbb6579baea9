Feature: whether a gateway reaches any backend server

  Scenario: one failing server does not make a gateway suspect itself
    Given a gateway that sees 20 servers
    When server 1 refuses a connection 9 times in a row
    Then the gateway takes the servers for reached

  Scenario Outline: servers that fail in a row make a gateway suspect itself
    Given a gateway that sees <count> servers
    When <failed> servers in a row <fault>
    Then the gateway suspects that it is cut off

    Examples:
      | count | failed | fault               |
      | 20    | 3      | refuse a connection |
      | 20    | 3      | give no answer      |
      | 2     | 2      | refuse a connection |
      | 1     | 1      | refuse a connection |

  Scenario: servers that answer in between clear a gateway of suspicion
    Given a gateway that sees 20 servers
    When 2 servers in a row give no answer
    And a server answers
    And 2 servers in a row give no answer
    Then the gateway takes the servers for reached

  Scenario: answers on open connections do not hide that new ones fail
    Given a gateway that sees 20 servers
    When 2 servers in a row refuse a connection
    And a server answers
    And server 7 refuses a connection 1 times in a row
    Then the gateway suspects that it is cut off

  Scenario: a lost failure domain does not isolate a gateway
    Given a gateway that sees 20 servers
    When 3 servers in a row refuse a connection
    And a probe finds a server
    Then the gateway takes the servers for reached
    And nobody is told

  Scenario: a gateway is isolated until a probe finds a server
    Given a gateway that sees 20 servers
    When 3 servers in a row give no answer
    And a probe finds no server
    Then the gateway is isolated, and others are told
    When a server answers
    Then the gateway is still isolated
    When a probe finds a server
    Then the gateway takes the servers for reached
    And others are told

  Scenario: a server's failures during a cut do not count against it afterwards
    Given a gateway that has suspended a server for failures
    When the gateway reaches servers again
    Then it may use the server at once

  Scenario: a gateway that opens connections to servers takes itself for isolated after probes of dead ones
    Given a gateway that sees 12 servers
    When 3 servers in a row refuse a connection
    And a connection to another server is opened
    And a probe finds no server
    Then the gateway takes the servers for reached

  Scenario: a gateway whose link is full takes itself for isolated while servers answer
    Given a gateway that sees 20 servers
    When 3 servers in a row give no answer
    And a server answers
    And 3 servers in a row give no answer
    And a probe finds no server
    Then the gateway takes the servers for reached

  Scenario: a gateway is confined while open connections live on and new ones are refused
    Given a gateway that sees 20 servers
    When 3 servers in a row refuse a connection
    And a server answers
    And a probe finds no server
    Then the gateway uses connections opened before only
    And nobody is told
    When a server answers
    And a probe finds no server
    Then the gateway uses connections opened before only
    When a probe finds no server
    Then the gateway is isolated, and others are told

  Scenario: servers that have failed are not probed first
    Given a gateway that sees 20 servers
    When 17 servers in a row give no answer
    Then the servers that are probed are the 3 others
