Feature: deployments that scenarios start on loopback

  Scenario: a port chosen for a host is given to no other socket
    Given a port reserved for a host
    When another socket asks for the port before the host listens
    Then it does not get it
    When the host listens there, and ends
    And another socket asks for the port before the host restarts
    Then it does not get it

  Scenario: a host that ends at the start of a deployment is named with its last words
    Given a deployment whose first control host cannot have its port
    When it is started
    Then the start fails within 10 seconds
    And the failure names control-1 and says that it cannot listen
