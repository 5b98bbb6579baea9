Feature: log lines that nobody reads

  Scenario: code that logs is not held up while its log is not read
    Given a log that is a pipe, with room for 64 KiB of lines beside it
    When 5000 lines are logged and nobody reads
    Then no line has taken longer than 50 ms
    And what found no room is counted as dropped

  Scenario: once the log is read again one line tells what was dropped
    Given a log that is a pipe, with room for 64 KiB of lines beside it
    When 5000 lines are logged and nobody reads
    And the log is read again
    Then the lines that were kept come out in their order
    And one line tells how many were dropped

  Scenario: the last lines come out when the process ends
    Given a log that is a pipe, with room for 64 KiB of lines beside it
    When 20 lines are logged and the log is closed while it is read
    Then all 20 lines come out

  Scenario: an end is not held up by a log that nobody reads
    Given a log that is a pipe, with room for 64 KiB of lines beside it
    When 5000 lines are logged and nobody reads
    And the log is closed
    Then closing it took less than 500 ms

  Scenario: a process whose log is not read goes on and ends
    Given a process that logs 3000 lines to a pipe that nobody reads
    Then it says within 5 seconds that no line took longer than 50 ms
    And it has ended a second later
