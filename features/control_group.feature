Feature: elections and replication in the control group

  Scenario: a leader cut off from the others steps down and refuses reads and changes
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When the leader is cut off in both directions
    Then the others elect a new leader
    And the old leader refuses reads and changes
    When the others accept a change
    And the network heals
    Then a change accepted meanwhile is on all hosts

  Scenario: a leader that receives but cannot send steps down
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When the messages of the leader no longer arrive
    Then the others elect a new leader
    And the old leader refuses reads and changes

  Scenario: a host that missed hundreds of changes catches up by a snapshot
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower is cut off in both directions for 1 election timeouts
    And 300 changes are accepted
    And the network heals
    Then a change accepted meanwhile is on all hosts
    And the follower got a snapshot and at most 40 messages with entries

  Scenario: a replica with a lost disk is replaced before a second host is lost
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    And 20 changes are accepted
    When a follower loses its data folder and a new replica replaces it
    And another follower is lost with its data folder
    Then all accepted changes are on the remaining hosts
    And a further change is accepted

  Scenario: a restart of all hosts at once loses no accepted change
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    And 50 changes are accepted
    When all hosts stop at once and start again
    Then all accepted changes are on the remaining hosts

  Scenario: a blank host counts for no candidate
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower loses its data folder
    And the leader is cut off in both directions
    Then no leader is elected in 4 election timeouts

  Scenario: the response to a message comes back on its call
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower is called with a heartbeat of the leader
    Then the call returns its response

  Scenario: a host that joins gets its lease with the commit of its join
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a host that is new to the leader renews its lease
    Then its lease is granted without a further round
    When it renews its lease again
    Then a round confirms the leader first
