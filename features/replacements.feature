Feature: a control group that loses disks while its members change

  Scenario: hosts that lack the entry of a promotion elect the host that has it
    Given four voters and a learner, whose promotion is committed on three voters
    When two of these lose their disks and all others lose power
    Then the three hosts left elect a leader that holds the promotion

  Scenario: a host whose disk is new counts for no candidate
    Given four voters and a learner, whose promotion is committed on three voters
    When three of these lose their disks and come back with new ones
    Then no leader is elected among all five

  Scenario: a leader whose removal only it holds is elected once more
    Given four voters whose leader holds its own removal, which no other one has
    When one of the others loses its disk and all lose power
    Then the three hosts left elect the leader, which commits its removal

  Scenario: a host that learns does not ask for votes
    Given four voters and a learner, whose promotion is committed on three voters
    When the learner hears no leader
    Then it asks for no votes

  Scenario: a change of the leader does not hold up the promotion of a learner
    Given groups of 4 voters and a learner in simulated time, seeds 1 to 40
    When the leader is lost
    Then each new leader promotes the learner 300 ms after its election at the latest, though the learner does not ask again

  Scenario: a learner that does not answer is not promoted
    Given groups of 4 voters and a learner in simulated time, seeds 1 to 40
    When the learner is lost
    Then no leader plans to promote the learner 900 ms later

  Scenario: a blank host that has voted keeps its vote when it gets the first members
    Given three blank hosts, the first of which gets the first members
    When it is elected by the second one, which then gets the members too
    And the third one gets the members and asks the second one for its vote
    Then the second one refuses, as it has voted in that term

  Scenario: changes without a pause do not hold up the promotion of a far learner
    Given groups of 4 voters and a learner in simulated time, seeds 1 to 10
    When the learner is 30 ms further away, and a change comes each 20 ms
    Then the learner is planned as a voter at each poll

  Scenario: of two silent voters the one that is silent for longer is replaced
    Given a group of 5 voters that should have 5
    When a new host asks to join and catches up
    And the third voter is silent for longer than the first
    Then the third voter is no member, and the first one is

  Scenario: a host asks to join at once, though two of three hosts that it knows are gone
    Given a client of three control hosts, the first two of which do not answer
    When it asks any of them
    Then it has the answer of the third one within 300 ms

  Scenario: a host that reaches no control host is told why
    Given a client of three control hosts, none of which leads
    When it asks any of them
    Then it has the error of one of them

  Scenario: the losses that are tolerated leave a leader at each step of a replacement
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    And leaders that lose power while a disk is replaced
    When a disk is lost and the host comes back
    Then at each step the further losses that are tolerated leave a leader with all committed entries

  Scenario: the losses that are tolerated leave a leader while two disks are replaced
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    And leaders that lose power while a disk is replaced
    When two disks are lost at once and the hosts come back
    Then at each step the further losses that are tolerated leave a leader with all committed entries

  Scenario: the losses that are tolerated leave a leader while a new host replaces a voter
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    And leaders that lose power while a disk is replaced
    When a voter is lost for good and a new host joins
    Then at each step the further losses that are tolerated leave a leader with all committed entries

  Scenario: the losses that are tolerated leave a leader while a host is exchanged again and again
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 30
    And leaders that lose power while a disk is replaced
    When the same host loses its disk and comes back 4 times in a row
    Then at each step the further losses that are tolerated leave a leader with all committed entries

  Scenario: the requests of a lost replica to join do not displace its successor
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 10
    And leaders that lose power while a disk is replaced
    When the same host loses its disk and comes back 4 times in a row
    Then no replica is a member again once it was removed
