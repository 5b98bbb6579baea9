Feature: the first views of hosts that start together

  Scenario: the first views of hundreds of hosts are packed few times
    Given a control host that knows 540 servers
    When 195 hosts ask for their first view, each of them after a change
    Then the state was packed at most 4 times
    And each host has the view of its moment
