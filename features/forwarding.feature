Feature: a gateway's attempts at backend servers

  Scenario Outline: the answer to the caller when servers fail
    Given a gateway with <count> servers, of which the first <fault>
    When <kind> request is served
    Then the caller gets <answer> after <attempts> attempts

    Examples:
      | count | fault              | kind                | answer   | attempts |
      | 2     | fails with 500     | an idempotent       | 500      | 1        |
      | 1     | fails with 500     | an idempotent       | 500      | 1        |
      | 2     | fails with 500     | a non-idempotent    | 500      | 1        |
      | 2     | breaks off         | an idempotent       | 200      | 2        |
      | 2     | breaks off         | a non-idempotent    | unknown  | 1        |
      | 2     | says it did not run it | a non-idempotent | 200     | 2        |
      | 1     | says it did not run it | a non-idempotent | overloaded | 1     |
      | 2     | refuses without an id | a non-idempotent | unknown | 1        |
      | 2     | refuses without an id | an idempotent   | 200      | 2        |
      | 2     | gives no proof     | an idempotent       | 200      | 2        |
      | 2     | is gone            | a non-idempotent    | 200      | 1        |

  Scenario: failures and answers are recorded as evidence
    Given a gateway with 2 servers, of which the first breaks off
    When an idempotent request is served
    Then the evidence has 1 failure of the first and 1 answer of the second

  Scenario: a request that crashes servers reaches at most two of them
    Given a gateway with 5 servers, of which the first answers
    When a request that crashes its servers is sent 6 times
    Then 2 servers are down
    And the caller gets no_backend after 2 attempts
    When an idempotent request is served
    Then the caller gets 200 after 3 attempts

  Scenario: a request for another object at the same path is served
    Given a gateway with 5 servers, of which the first answers
    When a request that crashes its servers is sent 2 times
    And a request for another object is sent to the same path
    Then 3 servers are down

  Scenario: a request that crashes servers is known whichever address it comes from
    Given a gateway with 8 servers, of which the first answers
    When a request that crashes its servers is sent from 5 addresses
    Then 2 servers are down

  Scenario: a request that crashes servers is known whichever service it goes to
    Given a gateway with 8 servers, of which the first answers
    And its route is split between two services
    When a request that crashes its servers is sent 6 times
    Then 2 servers are down

  Scenario: a request that crashes servers is known if they start again under their names
    Given a gateway with 1 servers, of which the first answers
    When a request that crashes its servers is sent 6 times, and its server starts again after each
    Then 2 servers are down

  Scenario: a request suspected by one gateway is refused by another
    Given a gateway with 5 servers, of which the first answers
    When a request that crashes its servers is sent 1 times
    And another gateway gets the suspects
    And a request that crashes its servers is sent 3 times
    Then 2 servers are down

  Scenario: a request that is quarantined while it runs is not sent again
    Given a gateway with 5 servers, of which the first answers
    When a request crashes a server just as others report 2 losses
    Then 1 servers are down
    And the caller gets unknown after 1 attempts

  Scenario: a suspected request is not sent again before its server is checked
    Given a gateway with 5 servers, of which the first answers
    When others report 1 losses under a request that crashes its servers
    And a request that crashes its servers is sent 1 times
    Then 1 servers are down
    And the caller gets unknown after 1 attempts

  Scenario: a lost answer makes no request a suspect while its server still listens
    Given a gateway with 2 servers, of which the first breaks off
    When a non-idempotent request is served
    And the gateway has checked its servers
    Then no request is suspected

  Scenario: a slow server that leaves the view keeps the request that it runs
    Given a gateway with 2 servers, of which the first answers after 0.6 s
    When an idempotent request is served while the first server expires
    Then the caller gets 200 after 1 attempts

  Scenario: after a pause a request waits for the view
    Given a gateway with 2 servers, of which the first answers
    When it was paused for 5 s and the first server leaves the view 0.1 s later
    Then the caller gets 200 after 1 attempts
    And the first server got no request

  Scenario: a gateway that is cut off from the control group after a pause waits once
    Given a gateway with 2 servers, of which the first answers
    When it was paused for 5 s and is cut off
    Then the first of two requests waits 0.3 s and the second does not wait
