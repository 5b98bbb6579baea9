Feature: requests on the platform, through separate processes

  Scenario: a request is served from the directory to an instance and back
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances of a service that send heartbeats
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    And a path without a route is answered 404 by each gateway
    And the configuration is read back as it was put at each control host
    When an instance reports that it drains
    Then after a while it gets no request
    When a control host is killed
    Then an evacuation is accepted and a change of the configuration too
    And the change comes into force at both gateways
    When a gateway is stopped while it serves a slow request
    Then the request gets its whole answer and the gateway exits by itself
    And the directory names the other gateway only

  Scenario: a request that crashes instances is refused by all gateways
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service that send heartbeats
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When a request that crashes instances is sent to each gateway 3 times
    Then at most 3 instances are down
    And a request through each gateway gets a whole answer with its stamp

  Scenario: a request that crashes instances is refused whichever address it comes from
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service that send heartbeats
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When a request that crashes instances is sent from 6 addresses
    Then at most 3 instances are down
    And a request through each gateway gets a whole answer with its stamp
