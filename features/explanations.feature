Feature: where a request would go, without sending it

  Scenario Outline: an explanation names another server than a request gets, or no reason
    Given a gateway whose configuration has the accounts anna and berta
    And <state>
    When it is explained for <account>
    Then the explanation says <what>
    And no server got a request

    Examples:
      | state                                                                | account | what                                                  |
      | its server is free                                                   | anna    | server cutting, verdict chosen                        |
      | its server is suspended                                              | anna    | no server, verdict suspended                          |
      | its server leaves                                                    | anna    | no server, verdict leaving                            |
      | its server is full                                                   | anna    | no server, verdict full                               |
      | its server is free                                                   | nobody  | the route asks for an account                         |
      | a route with the homes "lloegr" and the account anna with the homes "cymru" | anna | no region is home to both                        |
      | its view is too old for keys                                         | anna    | the view is too old for keys                          |
      | no route matches                                                     | anna    | no route matches                                      |

  Scenario: an explanation tells the terms of the account
    Given a gateway whose configuration has the accounts anna and berta
    And the account anna has the rank 3
    And the account anna has a quota of 1 request a second
    When it is explained for anna
    Then it tells the rank 3 and the quota that is left
    When a request is sent with the key of anna
    Then its server is the one that was explained

  Scenario: the command explains to operators only
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances of a service that send heartbeats
    When the operator puts a configuration
    Then the directory names both gateways
    And the command explains a request at a gateway, as text and as JSON
    And without the token it is refused
