Feature: a control group that loses disks while its members change

  Scenario: hosts that lack the entry of a promotion elect the host that has it
    Given four voters and a learner, whose promotion is committed on three voters
    When two of these lose their disks and all others lose power
    Then the three hosts left elect a leader that holds the promotion

  Scenario: a host whose disk is new counts for no candidate
    Given four voters and a learner, whose promotion is committed on three voters
    When three of these lose their disks and come back with new ones
    Then no leader is elected among all five
