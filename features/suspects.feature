Feature: requests that crash the servers that run them

  Scenario: a request whose servers are lost together is not refused
    Given a request that is sent to 3 servers
    When all of them are lost
    Then the request is not refused

  Scenario: a request is refused once a second server is lost in a row
    Given a request that is sent to 1 servers
    When all of them are lost
    And it is sent to another server
    And that server is lost
    Then the request is refused

  Scenario: an answer between two losses shows that it was by chance
    Given a request that is sent to 1 servers
    When all of them are lost
    And it is sent to another server
    And the request is answered
    And that server is lost
    Then the request is not refused

  Scenario: a loss that several requests of the same content saw counts once
    Given a request that is sent to 1 servers
    When all of them are lost
    And the loss is seen again by a request that was sent after it was known
    Then the request is not refused

  Scenario: gateways that lose a server each at the same time refuse nothing
    Given a request that is sent to 1 servers
    When all of them are lost
    And another gateway reports that it lost a server of its own meanwhile
    Then the request is not refused

  Scenario: a suspect in a renewal that fails is reported again
    Given a gateway that has lost a server under a request
    When a renewal of its lease fails
    Then the next renewal reports the suspect
    And once a renewal is answered, the next one does not

  Scenario: a loss during a renewal is reported with the next one
    Given a gateway that has lost a server under a request
    When it loses another one while a renewal is answered
    Then the next renewal reports the suspect

  Scenario: a request that crashes a server at each gateway is refused by all
    Given 12 gateways that know of no suspect
    When a request that crashes servers comes to each of them in turn
    Then 2 servers are lost

  Scenario: an answer at one gateway ends the suspicion at all
    Given 3 gateways that know of no suspect
    When a server is lost under a request at the first gateway
    And a gateway starts
    Then its request is suspected after 1 losses
    When the same request is answered at the second gateway
    And a gateway starts
    Then its request is suspected after 0 losses

  Scenario Outline: a suspicion ends when the leader tells of it no more
    Given a gateway whose leader last told of a suspect <age_ms> ms ago
    Then a server that is lost under the request is its loss <count> in a row

    Examples:
      | age_ms | count |
      | 500    | 2     |
      | 3000   | 1     |

  Scenario: a new leader learns which requests are refused
    Given 3 gateways that know of no suspect
    When a request that crashes servers comes to each of them in turn
    And another control host leads
    And a gateway starts
    Then its request is suspected after 2 losses

  Scenario: what the leader knows is not reported again
    Given 3 gateways that know of no suspect
    When a request that crashes servers comes to each of them in turn
    Then no gateway has anything to report

  Scenario: a refused request that is answered at its trial is served by all
    Given 3 gateways that know of no suspect
    When a request that crashes servers comes to each of them in turn
    And the first gateway tries the request and it is answered
    Then all gateways send the request

  Scenario: a refused request that takes a server down at its trial stays refused
    Given 3 gateways that know of no suspect
    When a request that crashes servers comes to each of them in turn
    And trials are due
    And a request that crashes servers comes to each of them in turn
    Then 1 trial was made
    And 3 servers are lost

  Scenario Outline: gateways try a refused request at different times
    Given <count> gateways that refuse a request which comes to each all along
    Then the first trial is 5 s to 65 s after the refusal
    And within 1.5 s of it at most 3 trials are made

    Examples:
      | count |
      | 1     |
      | 12    |
      | 200   |
