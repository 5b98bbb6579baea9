Feature: the decision of a gateway whether it reaches backend servers

  Scenario: a gateway that opens connections to servers takes itself for isolated after probes of dead ones
    Given a gateway with 12 backend servers
    When 3 servers give no sign of life
    And a connection to another server is opened
    And no probed server takes a connection
    Then the gateway does not take itself for isolated
