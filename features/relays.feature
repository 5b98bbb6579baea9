Feature: gateways that relay requests for an isolated one

  Scenario: a gateway of the own region is asked, and the less busy of two
    Given an isolated gateway with others near and far
    When the relay has a request at near-0
    Then the relay goes to near-1

  Scenario: gateways that reach no server either are not asked
    Given an isolated gateway with others near and far
    When the gateway near-0 is isolated too
    Then the relay goes to near-1

  Scenario: a gateway that could not serve a request is not asked for a while
    Given an isolated gateway with others near and far
    When the gateway near-0 could not serve a relayed request
    Then the relay goes to near-1
    And after 1000 ms it may go to near-0 again

  Scenario: without gateways in the region, others are asked
    Given an isolated gateway with others near and far
    When the gateway near-0 is isolated too
    And the gateway near-1 is isolated too
    Then the relay goes to far-0

  Scenario: a request is not relayed to a region that may not see it
    Given an isolated gateway with others near and far
    When the gateway near-0 is isolated too
    And the gateway near-1 is isolated too
    Then no relay goes out for a request whose home is cymru

  Scenario: a gateway does not relay to itself
    Given an isolated gateway with others near and far
    When all other gateways are isolated
    Then the relay goes to none

  Scenario: a caller that names another caller is not believed
    Given an isolated gateway with others near and far
    Then a relay from near-0 for 10.9.0.9 counts as one of 10.9.0.9
    And a relay from 10.8.0.8 for 10.9.0.9 counts as one of 10.8.0.8

  Scenario: a caller is told that a request did not run that broke at a server before another gateway refused it
    Given an isolated gateway with others near and far
    When the gateway loses a server that runs a request, and near-0 refuses it
    Then the caller is told that the outcome is unknown

  Scenario Outline: servers that took no connection leave a request no gateway to be relayed to
    Given a request for which <servers> servers took no connection
    When <gateways> gateways could not serve it either
    Then it <may> be relayed again

    Examples:
      | servers | gateways | may     |
      | 3       | 1        | may     |
      | 3       | 3        | may     |
      | 3       | 4        | may not |
      | 0       | 4        | may not |
