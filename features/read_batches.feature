Feature: reads of the configuration that are asked for at the same time

  Scenario: each of many reads takes a copy of the configuration
    Given calls that take 20 ms
    When 600 reads begin at once
    Then all get the same result, after at most 2 calls

  Scenario: a read gets what was there before a change that it follows
    Given calls that take 100 ms
    When a read begins, then a change is made, then another read begins
    Then the second read sees the change

  Scenario: reads wait for calls that get no answer
    Given calls that take 400 ms
    When a read begins each 10 ms for 200 ms
    Then no call begins over 100 ms after a read that waits for it
    And at most 5 calls are under way at the same time

  Scenario: a call that fails leaves reads without an answer
    Given calls that fail
    When 3 reads begin at once
    Then each fails, and the next read makes a new call
