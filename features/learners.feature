Feature: learners beside a majority of the voters

  Scenario: a learner whose log is the longest does not keep a majority without a leader
    Given three voters and a learner that has an entry of a lost leader, and an earlier leader that holds its promotion
    When the voter that led last loses its disk and all others lose power
    Then the three hosts left elect a leader that holds the committed entries

  Scenario: a group that grows from three voters to five bears the loss of a disk at each step
    Given groups of 3 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When two hosts join while the leader is cut off 6 times
    Then at each step the further losses that are tolerated leave a leader with all committed entries
