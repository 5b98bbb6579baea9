Feature: backend servers that say in their answers that they leave

  Scenario: an instance that leaves by its answers alone gets no new request
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service, of which one will leave by its answers alone
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When the instance says in each answer that it leaves, and requests go on
    Then it gets no request that was sent 2.5 s after it had said so
    And all requests are answered

  Scenario: gateways learn of a departure that one of them was told, also after a restart
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service, of which one will leave by its answers alone
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When the instance says that it leaves in an answer to the first gateway
    And requests go to the second gateway 2.5 s later
    Then it gets no request that was sent 2.5 s after it had said so
    And all requests are answered
    When the first gateway is killed and started again
    And requests go to the first gateway again
    Then it gets no request that was sent 2.5 s after it had said so
    And all requests are answered

  Scenario: an instance that starts again while no leader is heard, and leaves, gets no new request
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service, of which one will leave by its answers alone
    When the operator puts a configuration
    Then the directory names both gateways
    And the instance gets requests through each gateway
    When all but one control host are killed
    And the instance starts again, says in each answer that it leaves, and requests go on
    And the control hosts start again, and requests go on
    Then no gateway sends it a request 2.5 s after it was told
    And all requests are answered
