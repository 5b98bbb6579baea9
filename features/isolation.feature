Feature: gateways that are cut off from all backend servers

  Scenario: callers at a gateway are not served while its connections to servers hang
    Given 3 control hosts, 4 gateways and 6 backend servers that callers use
    When 1 gateway is cut off from all backend servers in the form silent
    Then after 3 seconds callers at it are served like those at the others
    And no unsafe request runs twice and no refused request runs
    And within 5 seconds after the cut it reaches the servers by itself

  Scenario: callers at a gateway are not served while its connections to servers are reset
    Given 3 control hosts, 4 gateways and 6 backend servers that callers use
    When 1 gateway is cut off from all backend servers in the form reset
    Then after 3 seconds callers at it are served like those at the others
    And no unsafe request runs twice and no refused request runs
    And within 5 seconds after the cut it reaches the servers by itself

  Scenario: callers at a gateway are not served while new connections to servers are refused and open ones live on
    Given 3 control hosts, 4 gateways and 6 backend servers that callers use
    When 1 gateway is cut off from all backend servers in the form refusing
    Then after 3 seconds callers at it are served like those at the others
    And no unsafe request runs twice and no refused request runs
    And within 5 seconds after the cut it reaches the servers by itself

  Scenario: callers in a failure domain are not served while all its gateways are cut off
    Given 3 control hosts, 4 gateways and 6 backend servers that callers use
    When 2 gateways are cut off from all backend servers in the form silent
    Then after 3 seconds callers at them are served like those at the others
    And no unsafe request runs twice and no refused request runs
    And within 5 seconds after the cut they reach the servers by themselves

  Scenario: requests circle among gateways that are all cut off
    Given 3 control hosts, 4 gateways and 6 backend servers that callers use
    When 4 gateways are cut off from all backend servers in the form silent
    Then after 3 seconds callers are refused at once, with a time to return
    And no unsafe request runs twice and no refused request runs
    And within 5 seconds after the cut they reach the servers by themselves
