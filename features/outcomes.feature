Feature: what callers are told

  Scenario: a retry after an unknown attempt never ends as not run
    Given a repeatable request whose first attempt is lost while it runs
    And whose second attempt is refused as not run
    When it is handled
    Then the caller is told that its outcome is unknown

  Scenario: work that may have run is not repeated
    Given an order whose first attempt is lost while it runs
    When it is handled
    Then it was attempted 1 times
    And the caller is told that its outcome is unknown
    And its claim is settled as run

  Scenario: work that was not run is tried elsewhere
    Given an order whose first attempt is refused as not run
    And whose second attempt is answered
    When it is handled
    Then it was attempted 2 times
    And the caller gets the whole answer

  Scenario: an order refused everywhere is not run, and its key is closed
    Given an order that every owner refuses as not run
    When it is handled
    Then the caller is told that it was not run
    And its claim is settled as not run

  Scenario: a claim that cannot be agreed is unknown
    Given an order whose claim no control host answers
    When it is handled
    Then it was attempted 0 times
    And the caller is told that its outcome is unknown

  Scenario: an order refused before its claim is unknown
    Given an order at an entry host without a lease
    When it is handled
    Then it was attempted 0 times
    And the caller is told that its outcome is unknown

  Scenario: a read refused before any attempt is not run
    Given a read at an entry host without a lease
    When it is handled
    Then it was attempted 0 times
    And the caller is told that it was not run

  Scenario: retries keep within their budget
    Given a repeatable request that every owner refuses as not run
    When it is handled 200 times
    Then it was attempted at most 240 times

  Scenario: moving on from a server that cannot be reached is no retry
    Given a repeatable request that meets a dead server first each time
    When it is handled 30 times
    Then no caller is refused

  Scenario: the baseline multiplies work when everything fails
    Given a repeatable request that every owner refuses as not run
    And the baseline decides on retries
    When it is handled 20 times
    Then it was attempted at least 180 times

  Scenario: a caller that goes away does not stop its order
    Given an order whose first attempt is answered late
    When its caller goes away meanwhile
    Then a planned stop would have waited for it
    And its claim is settled as run with the answer

  Scenario: a suspect after one broken server is sent to run alone
    Given a repeatable request whose first attempt is lost while it runs
    And whose second attempt is answered
    When it is handled
    Then its second attempt ran alone and not on the first server

  Scenario: a request that broke two servers is refused at once
    Given a repeatable request that breaks every server that runs it
    When it is handled 5 times
    Then it was attempted 2 times
    And the caller is told that it is quarantined

  Scenario: a key with a home is agreed by its home's group
    Given an order whose key has the home "lloegr"
    When it is handled 2 times
    Then it was attempted 1 times
    And its claim is held by the group of lloegr alone

  Scenario: a key with a home that is not known here may have run elsewhere
    Given an order whose key has the home "nowhere"
    When it is handled
    Then it was attempted 0 times
    And the caller is told that its outcome is unknown

  Scenario: an order over its limit is surely not run, and its key is closed
    Given an order whose customer's limit is used up
    When it is handled
    Then it was attempted 0 times
    And the caller is told that it was not run
    And its claim is settled as not run

  Scenario: a resend over the limit gets the answer of the attempt that ran
    Given an order whose first attempt is answered late
    When it is handled
    And the limit of its customer is used up
    And it is handled
    Then it was attempted 1 times
    And the caller gets the whole answer

  Scenario: the next attempt after a closed one may run
    Given an order that every owner refuses as not run
    When it is handled
    And it is sent again as its attempt 2 and owners answer
    Then the caller gets the whole answer

  Scenario: an order over its concurrency is surely not run
    Given an order whose customer's concurrency is used up
    When it is handled
    Then it was attempted 0 times
    And the caller is told that it was not run
    And its claim is settled as not run
