Feature: gateways that a look-up names

  Scenario: the callers of a failure domain are spread over all of its gateways
    Given a failure domain with 300 gateways
    When 500 callers of it look up gateways
    Then each of them is told 64 gateways of its failure domain
    And every gateway is told to between half and twice as many callers as the mean

  Scenario: a caller is told the same gateways until one of them leaves
    Given a failure domain with 300 gateways
    When a caller of it looks up gateways
    And it looks them up again
    Then it is told the same gateways
    When one of these gateways leaves
    And it looks them up again
    Then it is told one other gateway, and else the same

  Scenario: a caller is told all gateways of its failure domain if they are few
    Given a failure domain with 21 gateways
    When a caller of it looks up gateways
    Then it is told all gateways of its failure domain

  Scenario: a caller without two gateways near it is told those of its region
    Given a failure domain with 1 gateway
    When a caller of it looks up gateways
    Then it is told the gateways of its region

  Scenario: a caller of a region without gateways is told others
    Given a failure domain with 5 gateways
    When a caller of another region looks up gateways
    Then it is told all gateways

  Scenario: gateways that reach no backend server are not named beside others
    Given a failure domain with 5 gateways
    When 2 gateways of it reach no backend server
    And a caller of it looks up gateways
    Then it is told the 3 other gateways of its failure domain

  Scenario: a failure domain whose gateways reach no server is not named
    Given a failure domain with 5 gateways
    When 5 gateways of it reach no backend server
    And a caller of it looks up gateways
    Then it is told the gateways of its region that reach servers

  Scenario: callers are not sent away from a region whose gateways all relay
    Given a failure domain with 5 gateways
    And a distant region with gateways
    When all gateways of the region reach no backend server
    And a caller of it looks up gateways
    Then it is told the gateways of its region

  Scenario: a gateway that leaves is not named
    Given a failure domain with 5 gateways
    When 2 gateways of it leave
    And a caller of it looks up gateways
    Then it is told the 3 other gateways of its failure domain

  Scenario: a caller of a region is told only the single gateway that is not isolated
    Given a failure domain with 5 gateways
    When all gateways of the region but one are isolated
    And a caller of it looks up gateways
    Then it is told at least two gateways of its region
