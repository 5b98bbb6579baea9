Feature: control group

  Scenario: a leader cut off from the others steps down and answers nothing as current
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When the leader is cut off in both directions
    Then the others elect a new leader
    And the old leader refuses reads and changes
    When the others accept a change
    And the cut heals
    Then a change accepted meanwhile is held by all

  Scenario: a leader that hears the others but is not heard steps down
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When the leader is no longer heard by the others
    Then the others elect a new leader
    And the old leader refuses reads and changes

  Scenario: a host that was cut off does not disturb the leader when it comes back
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower is cut off in both directions for 6 election timeouts
    And the cut heals
    Then the leader and its term are the same as before

  Scenario: a host that cannot hear the leader does not disturb it
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower no longer hears the leader for 6 election timeouts
    And the cut heals
    Then the leader and its term are the same as before

  Scenario: a host that misses hundreds of changes catches up by a snapshot
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower is cut off in both directions for 1 election timeouts
    And 300 changes are accepted
    And the cut heals
    Then a change accepted meanwhile is held by all
    And the follower got a snapshot and at most 40 messages of the log

  Scenario: a lost disk is replaced and a second host is lost right after
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    And 20 changes are accepted
    When a follower loses its data folder and its new replica takes its place
    And another follower is lost for good
    Then all accepted changes are held by the rest
    And a further change is accepted

  Scenario: a restart of all hosts at once loses nothing accepted
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    And 50 changes are accepted
    When all hosts stop at once and start again
    Then all accepted changes are held by the rest

  Scenario: a blank host gives no vote
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When a follower loses its data folder
    And the leader is cut off in both directions
    Then no leader is elected in 4 election timeouts
