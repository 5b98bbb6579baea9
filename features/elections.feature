Feature: elections

  Scenario: hosts with the same seed wait for different times
    Given election timers of 5 hosts with the same seed
    Then no two of them are due within 10 ms

  Scenario: a host with the same seed waits for the same time on every run
    Given election timers of 5 hosts with the same seed
    Then the same timers are due at the same times again

  Scenario: a leader notices that no quorum answers
    Given a leader whose quorum has answered at 1000
    Then its quorum is fresh at 1900
    But its quorum is not fresh at 2000

  Scenario: a host that was cut off does not disturb the leader when it comes back
    Given groups of 3 control hosts in simulated time, seeds 1 to 40
    When a follower is cut off both ways for 6 election timeouts, then heals
    Then each leader and its term are the same as before

  Scenario: a host that gets no message of the leader does not disturb it
    Given groups of 3 control hosts in simulated time, seeds 1 to 40
    When a follower gets nothing of the leader for 6 election timeouts, then heals
    Then each leader and its term are the same as before

  Scenario: a lost voter is known as silent after a change of the leader
    Given groups of 5 control hosts in simulated time, seeds 1 to 40
    When a follower is lost, and the leader 900 ms later
    Then each new leader lists the lost follower within 3500 ms of its loss

  Scenario: a voter that was cut off only from the earlier leader is not silent
    Given groups of 5 control hosts in simulated time, seeds 1 to 20
    When a follower is cut off from the leader only, and the leader is lost 2500 ms later
    Then no new leader lists the follower as silent within 4000 ms

  Scenario: a leader that was paused names no silent voter
    Given groups of 5 control hosts in simulated time, seeds 1 to 20
    When the leader is paused for 8000 ms
    Then the paused leader lists no silent voter at the moment it goes on

  Scenario: after a loss of power of all hosts a leader is elected soon
    Given groups of 5 control hosts in simulated time, seeds 1 to 40
    When all lose power and start again within 350 ms of each other
    Then each has a leader, on average a quarter of an election timeout after the last start

  Scenario: of two hosts that ask for votes at the same time one goes on
    Given groups of 5 control hosts in simulated time, seeds 1 to 1
    When two hosts that have lost the leader ask each other for a pre-vote
    Then the first by name goes on, and the other grants and waits

  Scenario: a lost election names the voters that refused and those that were silent
    Given a group of 5 voters of which one has a longer log
    When a voter that is behind asks for pre-votes and two others do not run
    Then its report names the one with the longer log as refusing and two as silent
    And the one with the longer log gives "log_behind" as the reason

  Scenario: a host that is elected in one batch with late ticks goes on to lead
    Given a voter that is elected long after its start
    When the deciding vote and late ticks come in one batch
    Then it goes on to lead

  Scenario: a voter waits for its candidate, also if it voted for the same one before
    Given a voter that has voted for "b" and whose election is nearly due
    When "b" asks for its vote in the next term
    Then it starts no election within an election timeout
    But it starts one within two election timeouts

  Scenario: a candidate whose requests for votes are lost asks again in the same term
    Given a voter of five that asks for votes, of which one answer has come
    When no other answer comes for a heartbeat interval
    Then it has asked the 3 others for votes in the same term again

  Scenario: a voter that hears nothing does not keep slow ones from being elected
    Given groups of 5 control hosts in simulated time, seeds 1 to 40
    When the leader is lost, the first host hears nothing and the last one is 100 ms further away
    Then each group has a new leader within 15000 ms

  Scenario: a voter that leads or follows asks for no votes again
    Given a voter of five that asks for votes, of which one answer has come
    When it is elected, or hears of a newer term
    Then it sends no request for votes for a heartbeat interval

  Scenario Outline: hosts with slow disks get a leader
    Given <running> of <voters> voters that run, whose writes take <write> ms
    When they start after a loss of power
    Then each group has a leader in the end

    Examples:
      | running | voters | write |
      | 5       | 5      | 200   |
      | 3       | 5      | 200   |
      | 2       | 3      | 200   |
      | 5       | 5      | 400   |
      | 3       | 5      | 400   |
      | 2       | 3      | 400   |
