Feature: control hosts that need a long log

  Scenario Outline: a host with an empty disk gets a long log within the time to catch up
    Given groups of 5 voters in simulated time with links of <megabits> Mbit/s, seeds 1 to 5
    And logs of <count> commands of <size> bytes
    When a <loss> while a change of <size> bytes comes each 400 ms
    Then each new replica is a voter within the time to catch up

    Examples:
      | megabits | count | size  | loss               |
      | 280      | 300   | 12000 | disk is lost       |
      | 280      | 300   | 12000 | voter is exchanged |
      | 280      | 20    | 180000 | disk is lost       |
      | 100      | 300   | 12000 | disk is lost       |

  Scenario: entries are held back while a full message of entries is under way
    Given limits of the messages that are under way to replicas
    When a message with 400000 bytes of entries is sent to "c1:1/old"
    Then one with 200000 bytes of entries for "c1:1/old" is held back
    But one with 0 bytes of entries for "c1:1/old" is sent
    And one with 200000 bytes of entries for "c2:1/old" is sent

  Scenario: entries go out again once the message before them has ended
    Given limits of the messages that are under way to replicas
    When a message with 400000 bytes of entries is sent to "c1:1/old"
    And the message fails
    Then one with 200000 bytes of entries for "c1:1/old" is sent

  Scenario: an entry that is larger than the limits is sent alone, and has more time
    Given limits of the messages that are under way to replicas
    When a message with 5000000 bytes of entries is sent to "c1:1/old"
    Then it may take longer than one without entries
    And one with 1 bytes of entries for "c1:1/old" is held back

  Scenario: a message has the entries that fit into its limit
    Given a leader whose log has 10 entries of 200000 bytes
    When it finds that a follower has none of them
    Then it sends 2 entries to that follower

  Scenario: entries that were held back follow the next response
    Given a leader whose log has 10 entries of 200000 bytes
    When it finds that a follower has none of them
    And the message to that follower is held back
    And that follower answers that it has the first 2 entries
    Then it sends 2 entries to that follower

  Scenario: a leader does not go on behind entries that were held back
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When its sender holds all entries back and a change is given
    Then the leader sends that change to its followers next

  Scenario: messages whose entries are held back do not follow each other without end
    Given a leader whose log has 10 entries of 200000 bytes
    When it finds that a follower has none of them
    And the message to that follower is held back
    Then an answer that brings nothing new is followed by no message
