Feature: the first view of a gateway that starts

  Scenario: a server that had left is not in use again after a restart
    Given a gateway that starts while its first control host is behind
    When it has pulled a view of revision 5 with a server that left at revision 9
    And the leader grants its lease at revision 9
    Then it is not ready and uses no server
    When it has pulled the changes up to revision 9
    Then it is ready and uses the other server only

  Scenario: a gateway that has served goes on without the control group
    Given a gateway that starts while its first control host is behind
    When the leader grants its lease at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    And the leader no longer answers
    Then it is ready and uses both servers

  Scenario: a request that arrives before the first view waits for it
    Given a gateway that starts while its first control host is behind
    When a request with 6000 ms left arrives
    And the leader grants its lease at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    Then the request is handled by the view

  Scenario: a request is refused once its caller would return anyway
    Given a gateway that starts while its first control host is behind
    When a request with 300 ms left arrives
    Then it is refused as not run after a third of that, and told when to return

  Scenario: a reply that takes longer than the timeout on a thin link arrives
    Given a host that follows 2 parents
    When each reply takes 1500 ms
    Then it has its first view after 4 pulls at most

  Scenario: a gateway that lacks the newest view does not deny a request
    Given a gateway that starts while its first control host is behind
    When the leader grants its lease at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    And the leader grants its lease at revision 9
    And a request with 600 ms left arrives
    Then it is refused as not run and told when to return

  Scenario: a gateway without a lease does not deny a request
    Given a gateway that starts while its first control host is behind
    When the leader grants a lease of 20 ms at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    And its lease runs out
    And a request with 600 ms left arrives
    Then it is refused as not run and told when to return

  Scenario: a request on a new route waits for the view that has the route
    Given a gateway that starts while its first control host is behind
    When the leader grants its lease at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    And the leader grants its lease at revision 9
    And a request with 6000 ms left arrives
    And it has pulled the changes up to revision 9, the last of which adds its route
    Then the request is not denied

  Scenario: a request on no route is denied at once by the newest view
    Given a gateway that starts while its first control host is behind
    When the leader grants its lease at revision 5
    And it has pulled a view of revision 5 with a server that left at revision 9
    And a request with 6000 ms left arrives
    Then the request is handled by the view

  Scenario: a request before the first view waits twice, as if its view were outdated
    Given a gateway that starts while its first control host is behind
    When it has pulled a view of revision 5 with a server that left at revision 9
    And a request with 900 ms left arrives
    Then it is refused within 450 ms
