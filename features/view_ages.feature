Feature: how old the view may be by which a request is sent

  Scenario Outline: a request is sent by an answer that lay unread while the process did not run
    Given a gateway in touch with its leader and two servers
    When it does not run for 2 s, and meanwhile <change>
    And a request is read right after that
    Then the caller gets <status>
    And the first server is sent no request

    Examples:
      | change                                | status |
      | the first server leaves               | 200    |
      | the domain of the first is evacuated  | 200    |
      | the route moves to another service    | 200    |
      | the route moves to another region     | 200    |
      | the key of the caller is revoked      | 401    |

  Scenario: a request that waited between its attempts is sent by an outdated view
    Given a gateway in touch with its leader and two servers
    And the first server takes 2.8 s to say that it runs no request
    When it hears nothing of its leader, and the second server leaves
    And a request is read
    Then the caller gets 503
    And the second server is sent no request

  Scenario: a request is sent by an outdated view after a pause while it connects
    Given a gateway in touch with its leader and two servers
    When it does not run for 2 s while a request connects to the first server, which leaves
    Then the caller gets 200
    And the first server is sent no request

  Scenario: a gateway that hears nothing of its leader for long sends requests to a server that has left
    Given a gateway in touch with its leader and two servers
    When it hears nothing of its leader, and the first server leaves
    And it has heard nothing for 2.6 s
    And a request is read
    Then the caller gets 200
    And the first server is sent no request

  Scenario: a gateway that hears nothing of its leader refuses what it could serve
    Given a gateway in touch with its leader and two servers
    When it hears nothing of its leader for 2.6 s
    Then ten requests at once get 200
    And ten more get 200 without a wait

  Scenario: a server without a slot for health checks is taken for one that leaves
    Given a gateway in touch with its leader and two servers
    And servers that refuse health checks while they are full
    When it hears nothing of its leader for 2.6 s, but its servers answer requests
    Then ten more get 200 without a wait

  Scenario: requests wait for a renewal though the process was not paused
    Given a gateway in touch with its leader and two servers
    And its process goes on running
    When it hears nothing of its leader for 2.6 s
    Then ten more get 200 without a wait
