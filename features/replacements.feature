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

  Scenario: a host that is no member does not ask for votes
    Given four voters and a learner, whose promotion is committed on three voters
    When a host with a new disk and one that was removed hear no leader
    Then they ask for no votes

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

  Scenario: changes without a pause do not hold up the promotion of a learner on a slow host
    Given groups of 4 voters and a learner in simulated time, seeds 1 to 10
    When the learner is 200 ms further away, and a change comes each 20 ms
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

  Scenario: a replica whose removal it knows to be committed asks for no votes
    Given four voters whose leader holds its own removal, which no other one has
    When the removal is committed and the leader loses power
    Then it asks for no votes once it knows that the removal is committed

  Scenario: a leader promotes a learner that answers, though it does not ask
    Given the task that maintains a group of 4 voters that should have 5
    When a learner is ready and no request to join comes
    Then the task promotes the learner

  Scenario: a learner whose log is the longest does not keep a majority without a leader
    Given three voters and a learner that has an entry of a lost leader, and an earlier leader that holds its promotion
    When the voter that led last loses its disk and all others lose power
    Then the three hosts left elect a leader that holds the committed entries

  Scenario: a group that grows from three voters to five bears the loss of a disk at each step
    Given groups of 3 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When two hosts join while the leader is cut off 6 times
    Then at each step the further losses that are tolerated leave a leader with all committed entries

  Scenario: a learner whose log is the longest leads, and becomes a voter
    Given three voters and a learner that has an entry of a lost leader, and an earlier leader that holds its promotion
    When the voter that led last loses its disk and all others lose power
    Then the learner leads and may make itself a voter

  Scenario: a learner that was cut off does not disturb the leader when it comes back
    Given groups of 4 voters and a learner in simulated time, seeds 1 to 40
    When the learner is cut off both ways for 6 election timeouts, then heals
    Then each leader and its term are the same as before

  Scenario: a silent voter that asks to join is not replaced
    Given the task that maintains a group of 5 voters that should have 5
    When a learner is ready and a voter is silent to the leader, but asks to join
    Then the task keeps that voter

  Scenario: a silent voter that does not ask is replaced
    Given the task that maintains a group of 5 voters that should have 5
    When a learner is ready and a voter is silent to the leader
    Then the task replaces that voter

  Scenario: a voter that stops is replaced before its process ends
    Given the task that maintains a group of 5 voters that should have 5
    When a learner is ready and a voter asks to leave
    Then the voter is answered within 1000 ms, and is replaced by then

  Scenario: a voter that stops is not held up while no learner is ready
    Given the task that maintains a group of 5 voters that should have 5
    When no learner is ready and a voter asks to leave
    Then the voter is answered within 100 ms, and is a voter still

  Scenario: a leader is not deposed by its own message to an earlier replica on its host
    Given four voters, of which the one with the longest log runs on the host of one that is lost
    When all lose power and elect it
    Then it leads on and commits an entry of its term
