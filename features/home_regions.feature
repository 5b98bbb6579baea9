Feature: requests reach servers in the home regions of their routes only

  Scenario Outline: a retry goes to a region that is no longer a home
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes cymru
    And each server of cymru <fails>
    When the home moves to lloegr while a request at the gateway of <gateway> runs
    Then no request reached a server outside the homes in force
    And the caller gets an answer from lloegr

    Examples:
      | kind             | fails           | gateway  |
      | idempotent       | breaks off      | cymru    |
      | idempotent       | breaks off      | lloegr   |
      | idempotent       | breaks off      | iwerddon |
      | idempotent       | does not run it | cymru    |
      | non-idempotent   | does not run it | cymru    |
      | non-idempotent   | does not run it | lloegr   |
      | non-idempotent   | does not run it | iwerddon |

  Scenario Outline: a request goes to a server that left its home while the connection was opened
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes cymru
    When <change> while the gateway of iwerddon connects to a server
    Then no request reached a server outside the homes in force
    And <outcome>

    Examples:
      | kind             | change                                   | outcome                                               |
      | idempotent       | the home moves to lloegr                 | the caller gets an answer from lloegr                 |
      | non-idempotent   | the home moves to lloegr                 | the caller gets an answer from lloegr                 |
      | idempotent       | the servers of cymru move to lloegr-a    | the caller is refused as not run, with a time to return |
      | non-idempotent   | the servers of cymru move to iwerddon-a  | the caller is refused as not run, with a time to return |

  Scenario Outline: a body goes to a gateway that left its home while the connection was opened
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes cymru
    When the gateway of iwerddon reaches no server
    And the home moves to <homes> while the gateway of iwerddon connects to another
    Then no request reached the gateway of cymru
    And <outcome>

    Examples:
      | kind           | homes    | outcome                                                 |
      | idempotent     | lloegr   | the caller gets an answer from lloegr                   |
      | non-idempotent | lloegr   | the caller gets an answer from lloegr                   |
      | non-idempotent | iwerddon | the caller is refused as not run, with a time to return |

  Scenario Outline: a relayed request runs by the older homes of the second gateway
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes <before>
    When the home moves to cymru at the gateway of <first> only
    And the gateway of <first> reaches no server
    And a request with a body is sent to the gateway of <first>
    Then the caller is refused at once, with a time to return
    And the request reached no server
    And no request reached the gateway of lloegr

    Examples:
      | kind             | before     | first    |
      | idempotent       | lloegr     | iwerddon |
      | non-idempotent   | lloegr     | iwerddon |
      | idempotent       | any region | iwerddon |
      | non-idempotent   | iwerddon   | iwerddon |

  Scenario: a relayed request is refused though another gateway has the newer homes
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of non-idempotent requests with the homes iwerddon
    When the home moves to cymru and lloegr at the gateway of iwerddon and lloegr only
    And the gateway of iwerddon reaches no server
    And 20 requests with a body are sent to the gateway of iwerddon
    Then no request reached a server outside the homes in force
    And all callers get an answer from lloegr

  Scenario: relayed requests wait for a configuration that is on its way
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of non-idempotent requests with the homes lloegr
    When the home moves to cymru at the gateway of iwerddon only
    And the gateway of iwerddon reaches no server
    And the other gateways learn of the move 0.05 s later
    And 20 requests with a body are sent to the gateway of iwerddon
    Then all callers get an answer from cymru
    And no request reached a server outside the homes in force

  Scenario Outline: a body passes through a gateway outside the homes
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes <homes>
    When the gateway of iwerddon reaches no server
    And the gateway of cymru is gone
    And a request with a body is sent to the gateway of iwerddon
    Then <outcome>
    And no request reached a server outside the homes in force
    And no request reached the gateway of <outside>

    Examples:
      | kind             | homes            | outside | outcome                                           |
      | idempotent       | cymru            | lloegr  | the caller is refused at once, with a time to return |
      | non-idempotent   | cymru            | lloegr  | the caller is refused at once, with a time to return |
      | non-idempotent   | cymru and lloegr | cymru   | the caller gets an answer from lloegr             |
      | non-idempotent   | lloegr           | cymru   | the caller gets an answer from lloegr             |

  Scenario Outline: a route has no server in its home
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of <kind> requests with the homes cymru
    When all servers of cymru leave
    And 3 servers of an unknown zone join
    And a request is sent to the gateway of <gateway>
    Then the caller is refused at once, with a time to return
    And the request reached no server

    Examples:
      | kind             | gateway  |
      | idempotent       | cymru    |
      | non-idempotent   | lloegr   |
      | non-idempotent   | iwerddon |

  Scenario: a server that moved under its id is used as if it were where it was
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of idempotent requests with the homes cymru
    When 3 requests are sent to each gateway
    Then 9 requests reached servers in cymru
    When the servers of cymru move to lloegr-a under their ids
    And a request is sent to the gateway of cymru
    Then the caller is refused at once, with a time to return
    When the servers of lloegr move to cymru-a under their ids
    And 3 requests are sent to each gateway
    Then 18 requests reached servers in cymru
    And no request reached a server outside the homes in force

  Scenario: a server that moved under its id counts as one of the region that it left
    Given gateways and servers in cymru, lloegr and iwerddon
    And a route of idempotent requests with the homes cymru
    When the servers of lloegr move to cymru-a under their ids
    Then each gateway has the servers in the region of cymru-a

  Scenario Outline: the directory names a gateway of another region beside some of the caller's
    Given the directory knows <count> gateways in each region
    When all gateways of cymru but <left> are <state>
    Then 200 callers of cymru are told gateways of cymru only

    Examples:
      | count | left | state    |
      | 1     | 1    | lost     |
      | 2     | 1    | lost     |
      | 3     | 1    | lost     |
      | 100   | 1    | lost     |
      | 100   | 99   | lost     |
      | 2     | 1    | isolated |
      | 2     | 0    | isolated |
      | 100   | 0    | isolated |
      | 2     | 1    | leaving  |
      | 100   | 1    | leaving  |

  Scenario: a gateway that starts serves by the homes of before
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances in each of cymru and lloegr
    When the operator puts a configuration
    Then a request through each gateway gets a whole answer with its stamp
    When a gateway is killed 8 times and started again after the home has moved
    Then no request reached an instance outside the home of its round
    And each request that it read was answered or refused as not run
