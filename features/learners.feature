Feature: learners beside a majority of the voters

  Scenario: a learner whose log is the longest does not keep a majority without a leader
    Given three voters and a learner that has an entry of a lost leader, and an earlier leader that holds its promotion
    When the voter that led last loses its disk and all others lose power
    Then the three hosts left elect a leader that holds the committed entries
