Feature: failures under load, through real processes

  Scenario: an entry host dies while it runs orders, and callers resend
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 60 urgent requests to /orders/slow
    And entry-1 is killed while they run
    Then every request has an answer, a refusal or an unknown outcome
    And no invariant is broken

  Scenario: a resend after a lost answer gets the stored answer
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is sent again with its key to every other entry host
    Then every answer is the first one
    And the order has run once

  Scenario: a key cannot be used for another order
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is sent again with its key and another body
    Then it is refused as key_reused with run unknown

  Scenario Outline: an order without a usable key is not run
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When an order is sent with the key "<key>"
    Then it is refused as <kind> with run <run>
    And no order has run

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

  Scenario: a backend server that leaves gets no new work and cuts nothing
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When callers send 24 interactive requests to /stock/slow
    And orders-cymru-1 is stopped as planned while they run
    Then every request has a whole answer
    And orders-cymru-1 has run nothing 3 seconds after it left
    And it ended with exit code 0

  Scenario: an entry host that stops as planned cuts nothing
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 24 interactive requests to /stock/slow
    And entry-1 is stopped as planned while they run
    Then every request has a whole answer
    And it ended with exit code 0

  Scenario: a drain of a failure domain gives it no new work and reports its time
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When an operator drains failure_domain cymru-a and waits for its end
    And callers of lloegr send 20 interactive requests to /stock/1
    And callers of cymru send 20 interactive requests to /stock/1
    Then every request has a whole answer
    And no backend server of cymru-a has run any of them

  Scenario: a frozen entry host enforces no old contract
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When entry-1 is frozen
    And an operator changes a contract
    And the change is in force everywhere
    And entry-1 goes on
    Then entry-1 never answers by the old contract

  Scenario: two operators race with the same version
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When two operators change the same version at once
    Then one change is accepted and the other names the winner
    And each resend gets its first outcome after the leader is killed

  Scenario: a poison request breaks at most two backend servers
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When a caller sends a poison request 8 times by different entry hosts
    Then at most 2 backend servers were broken
    And the last of them are refused as quarantined
    And 20 neighbouring requests have whole answers

  Scenario: an answer cut short is never a short success
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/cut
    Then it is refused as outcome_unknown with run unknown

  Scenario: a whole region is lost
    Given a deployment of golau-beic with 3 control and 6 entry hosts
    When all hosts and backend servers of lloegr are killed
    And the blocks of lloegr have moved to the other regions
    And callers of lloegr send 20 interactive requests to /stock/1
    Then every request has a whole answer
    And no invariant is broken

  Scenario: claims agreed in a region run once and survive its leader
    Given a deployment of golau-beic with 3 claim hosts in each region
    When callers send 40 urgent requests to /orders/slow
    And claim-lloegr-1 is killed while they run
    Then every request has an answer, a refusal or an unknown outcome
    And no invariant is broken

  Scenario: a connection that goes silent is found before the deadline
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/silent
    Then it is refused as outcome_unknown with run unknown

  Scenario: a server that still runs a request is waited for until its deadline
    Given a deployment of golau-beic with 3 control and 3 entry hosts
    When a caller sends an order to /orders/freeze
    Then it is refused as deadline with run unknown
