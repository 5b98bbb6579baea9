Feature: the first views of hosts that start together

  Scenario: the first views of hundreds of hosts are packed few times
    Given a control host that knows 540 servers
    When 195 hosts ask for their first view, each of them after a change
    Then the state was packed at most 4 times
    And each host has the view of its moment

  Scenario: thousands of new routes cross a thin link to several hosts in time
    Given a control host that knows 540 servers
    When 8 hosts follow it while its configuration grows by 3000 routes
    Then all their pulls fit a link of 2 Mbit/s within the timeout of one pull
    And each host has all routes
