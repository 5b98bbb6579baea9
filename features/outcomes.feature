Feature: outcomes of requests

  Scenario: a retry after an attempt of unknown outcome never ends as not run
    Given a repeatable request whose first attempt is lost while it runs
    And whose second attempt is refused as not run
    When it is handled
    Then the caller gets an unknown outcome

  Scenario: an order that may have run is not repeated
    Given an order whose first attempt is lost while it runs
    When it is handled
    Then it was attempted 1 times
    And the caller gets an unknown outcome
    And its claim is settled as run

  Scenario: an order that was not run is tried on another server
    Given an order whose first attempt is refused as not run
    And whose second attempt is answered
    When it is handled
    Then it was attempted 2 times
    And the caller gets the whole answer

  Scenario: an order refused everywhere is not run, and its key is closed
    Given an order that every owner refuses as not run
    When it is handled
    Then the caller gets a refusal as not run
    And its claim is settled as not run

  Scenario: an order whose claim cannot be agreed has an unknown outcome
    Given an order whose claim no control host answers
    When it is handled
    Then it was attempted 0 times
    And the caller gets an unknown outcome

  Scenario: an order refused before its claim has an unknown outcome
    Given an order at an entry host without a lease
    When it is handled
    Then it was attempted 0 times
    And the caller gets an unknown outcome

  Scenario: a read refused before any attempt is not run
    Given a read at an entry host without a lease
    When it is handled
    Then it was attempted 0 times
    And the caller gets a refusal as not run

  Scenario: retries stay within their budget
    Given a repeatable request that every owner refuses as not run
    When it is handled 200 times
    Then it was attempted at most 240 times

  Scenario: an attempt that follows an unreachable server is no retry
    Given a repeatable request that finds an unreachable server first each time
    When it is handled 30 times
    Then no caller is refused

  Scenario: the baseline multiplies attempts when all of them fail
    Given a repeatable request that every owner refuses as not run
    And the baseline decides on retries
    When it is handled 20 times
    Then it was attempted at least 180 times

  Scenario: an order continues when its caller disconnects
    Given an order whose first attempt is answered late
    When its caller disconnects meanwhile
    Then a graceful stop would have waited for it
    And its claim is settled as run with the answer

  Scenario: after one broken server the next attempt runs alone
    Given a repeatable request whose first attempt is lost while it runs
    And whose second attempt is answered
    When it is handled
    Then its second attempt ran alone and not on the first server

  Scenario: a request that broke two servers is refused at once
    Given a repeatable request that breaks every server that runs it
    When it is handled 5 times
    Then it was attempted 2 times
    And the caller gets a refusal as quarantined

  Scenario: a claim on a key with a home is agreed by the group of that home
    Given an order whose key has the home "lloegr"
    When it is handled 2 times
    Then it was attempted 1 times
    And its claim is held by the group of lloegr alone

  Scenario: an order whose key has an unknown home may have run elsewhere
    Given an order whose key has the home "nowhere"
    When it is handled
    Then it was attempted 0 times
    And the caller gets an unknown outcome

  Scenario: an order over its rate limit is not run, and its key is closed
    Given an order whose customer's limit is used up
    When it is handled
    Then it was attempted 0 times
    And the caller gets a refusal as not run
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
    And it is resent as its attempt 2 and owners answer
    Then the caller gets the whole answer

  Scenario: an order over its concurrency limit is not run
    Given an order whose customer's concurrency is used up
    When it is handled
    Then it was attempted 0 times
    And the caller gets a refusal as not run
    And its claim is settled as not run
