Feature: orders that are read after their sender has given them up

  Scenario: an order is outdated once its subject has had a later one
    Given a leader whose log had 20 entries when its term began
    When it appends an order for cymru-a at 25
    Then an order for cymru-a that was read at 24 is outdated
    But an order for cymru-a that was read at 25 is not
    And an order for lloegr-a that was read at 20 is not
    But an order for lloegr-a that was read at 19 is outdated
    And an order of a host that does not say when it was read is not

  Scenario: a new term forgets the orders of earlier ones
    Given a leader whose log had 20 entries when its term began
    When it appends an order for cymru-a at 25
    And it leads again in a later term, with 40 entries
    Then an order for cymru-a that was read at 39 is outdated
    But an order for cymru-a that was read at 40 is not

  Scenario: the memory for orders is bounded
    Given a leader whose log had 20 entries when its term began
    When it appends an order for cymru-a at 25
    And it appends orders for 5000 other subjects after it
    Then 4096 orders are remembered
    And an order for cymru-a that was read at 24 is outdated
    And an order for lloegr-a that was read at 24 is outdated

  Scenario Outline: a pause is told from a busy event loop
    Given an event loop that runs until 10000 ms
    When it stands still until <woken> ms and runs on until <read> ms
    Then what is read at <read> ms <verdict>

    Examples:
      | woken | read  | verdict             |
      | 10400 | 10400 | is taken as current |
      | 10600 | 10600 | may have waited     |
      | 14000 | 14900 | may have waited     |
      | 14000 | 15100 | is taken as current |

  Scenario: what is read before the event loop has noticed its pause
    Given an event loop that runs until 10000 ms
    Then what is read at 12000 ms may have waited

  Scenario Outline: an order whose sender has left is not carried out
    Given a control host whose HTTP interface is open
    When a caller sends <call> and closes its connection at once
    Then nothing is proposed to the leader

    Examples:
      | call                           |
      | POST /api/evacuate/cymru-a     |
      | DELETE /api/evacuate/cymru-a   |
      | DELETE /api/instances/i-1      |

  Scenario Outline: an order that may have waited in a pause is refused
    Given a control host whose HTTP interface is open
    And it was paused a moment ago
    When a caller sends <call> and waits
    Then it is refused with 503
    And nothing is proposed to the leader

    Examples:
      | call                           |
      | POST /api/evacuate/cymru-a     |
      | DELETE /api/evacuate/cymru-a   |
      | DELETE /api/instances/i-1      |

  Scenario: a departure that names its start is taken however late it is read
    Given a control host whose HTTP interface is open
    And it was paused a moment ago
    When an instance leaves by a call that names its start
    Then it is answered with 200

  Scenario: a late departure that names no start spares a later start
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a departure of a server is read, and the server starts again first
    Then the first is refused as outdated and not run
    And the server is registered

  Scenario: an order that waited for a new leader is checked anew
    Given a control host whose HTTP interface is open
    And the leader takes the first order for outdated
    When a caller sends POST /api/evacuate/cymru-a and waits
    Then it is answered with 200
    And the leader got it twice, the second time with a later index

  Scenario: an order that stays outdated is refused in time
    Given a control host whose HTTP interface is open
    And the leader takes all orders for outdated
    When a caller sends POST /api/evacuate/cymru-a and waits
    Then it is refused with 503

  Scenario Outline: a late change of a drain does not undo a later one
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When the cancellation of a drain <trouble>, and the drain was started again
    Then the first is refused as outdated and not run
    And the drain holds

    Examples:
      | trouble                           |
      | is read after its sender has left |
      | waits on its way to the log       |

  Scenario: an order whose sender waits is carried out
    Given a control host whose HTTP interface is open
    When a caller sends DELETE /api/evacuate/cymru-a and waits
    Then it is answered with 200
    And the leader is told the index that was applied when it was read

  Scenario: a leader refuses an order that waited on its way to it
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When an order to evacuate cymru-a is read, and its end is ordered first
    Then the first is refused as outdated and not run
    And cymru-a is not evacuated

  Scenario Outline: a control host that wakes applies no order of before
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances of a service that send heartbeats
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When the operator evacuates cymru-a
    And <host> is frozen and holds the order to end that
    And the operator ends it elsewhere and evacuates cymru-a again
    And the host wakes
    Then for 4 seconds no request reaches an instance

    Examples:
      | host                 |
      | a follower           |
      | the leader           |
