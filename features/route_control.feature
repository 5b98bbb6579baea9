Feature: calls of operators and backend servers to a control host

  Scenario Outline: a call is answered in time although the leader does not answer
    Given a control host whose leader never answers
    When <call>
    Then the caller is told within 1 second that the outcome is unknown
    And nothing of the call is left running

    Examples:
      | call                                   |
      | an operator evacuates a failure domain |
      | an operator reads the configuration    |
      | an operator changes a route            |
      | a backend server sends a heartbeat     |
      | a backend server leaves                |

  Scenario: a leader that is elected within the time answers the call
    Given a control host that has a leader after 0.4 seconds
    When an operator evacuates a failure domain
    Then the call is accepted

  Scenario: a change of thousands of routes has longer to commit
    Given a control host whose leader answers after 1.5 seconds
    When an operator changes 2000 routes
    Then the call is accepted
