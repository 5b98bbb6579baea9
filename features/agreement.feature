Feature: views, leases and relays of entry hosts

  Scenario: an older snapshot or older deltas never lower the revision
    Given a view at revision 20
    When a relay sends a snapshot of revision 12
    And a relay sends the deltas 10 to 15
    Then the view is still at revision 20

  Scenario: deltas that follow a gap are not applied
    Given a view at revision 20
    When a relay sends the deltas 22 to 25
    Then the view is still at revision 20

  Scenario: a host that is far behind catches up by one snapshot
    Given a control host whose deltas start after revision 3000
    When a host at revision 5 pulls
    Then it gets one snapshot and is at the newest revision

  Scenario: a lease starts when its renewal was sent
    Given a lease of 3000 ms requested at 1000 and answered at 2500
    Then the lease is valid at 3999
    But the lease is not valid at 4000

  Scenario: a lease is not valid before the host has its revision
    Given a lease of 3000 ms that requires revision 7 while the host is at 6
    Then the lease is not valid at 1500
    When the host reaches revision 7
    Then the lease is valid at 1500

  Scenario: a lease ends as each renewal names changes that its host has not reached
    Given a lease of 3000 ms that is renewed every 500 ms for 10 s
    And changes every 100 ms that its host applies 700 ms later
    Then the lease is valid at 10000
    And the last renewal in effect was sent after 8700

  Scenario: the control group expires a host only after its lease has ended
    Given a control host that renewed a lease of 3000 ms at 2500
    Then it expires the host only after 5500

  Scenario: a new leader expires no host at once
    Given a new leader at 10000 with 3 hosts of the earlier one
    Then no host has expired at 13000
    And 3 hosts have expired at 13500

  Scenario: a change is in force only when every live host has it
    Given a new leader at 10000 with 3 hosts of the earlier one
    When two hosts report revision 9 and one reports revision 8
    Then revision 8 is in force everywhere
    When the third host's lease expires
    Then revision 9 is in force everywhere

  Scenario: no host in the relay tree exceeds its fan-out
    Given 4400 entry hosts that relay with a fan-out of 8
    Then no host relays to more than 8 others
    And the control group relays to at most 8
    And every host reaches the control group in at most 5 hops

  Scenario Outline: a change crosses to a region few times
    Given <count> entry hosts in <regions> regions that relay with a fan-out of 8
    Then no host relays to more than 8 others
    And the control group relays to at most 8
    And every host reaches the control group in at most <hops> hops
    And at most <crossings> hosts of a region pull from outside

    Examples:
      | count | regions | hops | crossings |
      | 195   | 3       | 4    | 2         |
      | 66    | 3       | 3    | 2         |
      | 4400  | 20      | 6    | 1         |
