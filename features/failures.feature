Feature: failures under load, through real processes

  Scenario: an entry host is killed while it runs orders, and callers retry
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 60 urgent requests to /orders/slow
    And entry-1 is killed while they run
    Then every request has an answer, a refusal or an unknown outcome
    And no invariant is broken

  Scenario: an order resent with its key gets the stored answer
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is resent with its key to every other entry host
    Then every answer equals the first
    And the order ran once

  Scenario: a key cannot be reused for a different order
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is resent with its key and another body
    Then it is refused as key_reused with run unknown

  Scenario Outline: an order without a usable key is not run
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is sent with the key "<key>"
    Then it is refused as <kind> with run <run>
    And no order ran

    Examples:
      | key                                  | kind        | run     |
      | none                                 | bad_key     | no      |
      | 0e8c0a3c-8a25-4b0c-9f5e-2f1f5d1d5a10 | bad_key     | no      |
      | 01890a5d-ac96-774b-bcce-b302099a8057 | key_expired | unknown |

  Scenario: the leading control host dies while orders run
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 60 urgent requests to /orders/slow
    And the leading control host is killed while they run
    Then every request has an answer, a refusal or an unknown outcome
    And no invariant is broken

  Scenario: a backend server that stops gracefully gets no new requests and drops none
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When callers send 24 interactive requests to /stock/slow
    And orders-cymru-1 is stopped gracefully while they run
    Then every request has a whole answer
    And orders-cymru-1 has run nothing 3 seconds after its stop
    And it ended with exit code 0

  Scenario: an entry host that stops gracefully drops no request
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 24 interactive requests to /stock/slow
    And entry-1 is stopped gracefully while they run
    Then every request has a whole answer
    And it ended with exit code 0

  Scenario: a drain of a failure domain gives it no new work and reports its time
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When an operator drains failure_domain cymru-a and waits for its end
    And callers of lloegr send 20 interactive requests to /stock/1
    And callers of cymru send 20 interactive requests to /stock/1
    Then every request has a whole answer
    And no backend server of cymru-a has run any of them

  Scenario: a frozen entry host does not apply an outdated contract afterwards
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When entry-1 is frozen
    And an operator changes a contract
    And the change is in force everywhere
    And entry-1 is resumed
    Then entry-1 never answers under the old contract

  Scenario: of two operators who change the same version one wins
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When two operators change the same version at once
    Then one change is accepted and the conflict of the other names it
    And after the leader is killed each resend gets its first outcome

  Scenario: a poison request crashes at most two backend servers
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When a caller sends a poison request 8 times through different entry hosts
    Then at most 2 backend servers have crashed
    And the last of them are refused as quarantined
    And 20 other requests have whole answers

  Scenario: a truncated answer is an unknown outcome, not a success
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/cut
    Then it is refused as outcome_unknown with run unknown

  Scenario: all processes of a region are lost
    Given a deployment of golau-beic with 3 control and 6 entry hosts
    When all hosts and backend servers of lloegr are killed
    And the blocks of lloegr have moved to the other regions
    And callers of lloegr send 20 interactive requests to /stock/1
    Then every request has a whole answer
    And no invariant is broken

  Scenario: claims agreed within a region survive the loss of its leader, and orders run once
    Given a deployment of golau-beic with 3 claim hosts in each region
    When callers send 40 urgent requests to /orders/slow
    And claim-lloegr-1 is killed while they run
    Then every request has an answer, a refusal or an unknown outcome
    And no invariant is broken

  Scenario: a silent connection is detected before the deadline
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/silent
    Then it is refused as outcome_unknown with run unknown

  Scenario: a request that its server still runs is waited for until the deadline
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/freeze
    Then it is refused as deadline with run unknown
