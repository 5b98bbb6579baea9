Feature: what entry hosts enforce

  Scenario: a revision never goes back, whoever it comes from
    Given a view at revision 20
    When a relay sends a snapshot of revision 12
    And a relay sends the deltas 10 to 15
    Then the view is still at revision 20

  Scenario: a gap in the deltas is not jumped
    Given a view at revision 20
    When a relay sends the deltas 22 to 25
    Then the view is still at revision 20

  Scenario: a late host takes hundreds of changes by one snapshot
    Given a control host whose deltas start behind revision 3000
    When a host at revision 5 pulls
    Then it gets one snapshot and is at the newest revision

  Scenario: a lease counts from when its renewal was sent
    Given a lease of 3000 ms asked for at 1000 and answered at 2500
    Then it holds at 3999
    But it does not hold at 4000

  Scenario: a lease does not count before its revision is reached
    Given a lease of 3000 ms that wants revision 7 while the host is at 6
    Then it does not hold at 1500
    When the host reaches revision 7
    Then it holds at 1500

  Scenario: the control group waits longer than any host can act
    Given a control host that renewed a lease of 3000 ms at 2500
    Then it takes the host for gone only after 5500

  Scenario: a new leader takes no host for gone at once
    Given a new leader at 10000 with 3 hosts of the earlier one
    Then no host is gone at 13000
    And 3 hosts are gone at 13500

  Scenario: a change is in force only when every live host has it
    Given a new leader at 10000 with 3 hosts of the earlier one
    When two hosts report revision 9 and one reports revision 8
    Then revision 8 is in force everywhere
    When the third one's lease runs out
    Then revision 9 is in force everywhere

  Scenario: the relay tree gives no host more than its fan-out
    Given 4400 entry hosts that relay with a fan-out of 8
    Then no host serves more than 8 others
    And the control group serves at most 8
    And every host reaches the control group in at most 5 steps
