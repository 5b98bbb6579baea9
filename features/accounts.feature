Feature: accounts of callers, known by their keys

  Scenario Outline: a request without a valid key runs, or one with it is denied
    Given a gateway whose configuration has the accounts anna and berta
    When a request is sent with <headers>
    Then it is answered <status> and reaches the server <as account>

    Examples:
      | headers                                        | status | as account |
      | no key                                         | 401    | never      |
      | the key of anna                                | 200    | as anna    |
      | the second key of anna                         | 200    | as anna    |
      | the key of berta                               | 200    | as berta   |
      | an unknown key                                 | 401    | never      |
      | the key of anna in lower-case scheme           | 200    | as anna    |
      | the key of anna in another scheme              | 401    | never      |
      | the key of anna without a scheme               | 401    | never      |
      | a scheme without a key                         | 401    | never      |
      | the keys of anna and berta                     | 401    | never      |
      | the key of anna twice                          | 200    | as anna    |
      | the key of anna and the name of berta          | 200    | as anna    |
      | the name of berta only                         | 401    | never      |

  Scenario Outline: a public route asks for a key, or lets a caller name its account
    Given a gateway whose configuration has the accounts anna and berta
    And a public route
    When a request is sent with <headers>
    Then it is answered 200 and reaches the server <as account>

    Examples:
      | headers                               | as account         |
      | no key                                | without an account |
      | an unknown key                        | without an account |
      | the key of anna                       | as anna            |
      | the name of berta only                | without an account |
      | the key of anna and the name of berta | as anna            |

  Scenario: headers are changed where the configuration has no accounts
    Given a gateway whose configuration has no accounts
    When a request is sent with the key of anna and the name of berta
    Then it is answered 200 and reaches the server with the headers as sent

  Scenario: a second attempt carries the key
    Given a gateway whose configuration has the accounts anna and berta
    And two servers that break off the first request
    When a request is sent with the key of anna
    Then it is answered 200 and reaches the server as anna, each of 2 times

  Scenario: a key that is taken away is used on a connection that is kept
    Given a gateway whose configuration has the accounts anna and berta
    When a request is sent with the key of anna
    And the key of anna is taken away
    And a request is sent on the same connection with the key of anna
    Then the answers are 200 and 401, and the server got 1 request

  Scenario: a key that is taken away during the first attempt is used for a second
    Given a gateway whose configuration has the accounts anna and berta
    And two servers that break off the first request once the key of anna is taken away
    When a request is sent with the key of anna
    Then it is answered 502 and the server got 1 request

  Scenario Outline: a gateway that cannot know of revocations serves keys, or stops too early
    Given a gateway whose configuration has the accounts anna and berta, where a revocation holds everywhere after 5 s
    When its view was confirmed <age> ms ago
    And a request is sent with <headers>
    Then it is answered <status> and the server got <count> request

    Examples:
      | age  | headers         | status | count |
      | 0    | the key of anna | 200    | 1     |
      | 4500 | the key of anna | 200    | 1     |
      | 5000 | the key of anna | 503    | 0     |
      | 9000 | the key of anna | 503    | 0     |
      | 9000 | no key          | 503    | 0     |

  Scenario: a gateway whose view may lack a new key denies it
    Given a gateway whose configuration has the accounts anna and berta
    When its view is not known to be the newest
    And a request is sent with an unknown key
    Then it is answered 503 and the server got 0 request

  Scenario: a gateway whose view becomes too old while it connects sends a key
    Given a gateway whose configuration has the accounts anna and berta, where a revocation holds everywhere after 5 s
    When its view becomes too old while a request with the key of anna waits for its connection
    Then it is answered 503 and the server got 0 request

  Scenario Outline: home regions of the account or the route do not bind
    Given a gateway whose configuration has the accounts anna and berta
    And a route with the homes "<route>" and the account anna with the homes "<account>"
    When a request is sent with the key of anna
    Then it is answered <status> and the server got <count> request

    Examples:
      | route        | account      | status | count |
      |              |              | 200    | 1     |
      | cymru        |              | 200    | 1     |
      |              | cymru        | 200    | 1     |
      | cymru,lloegr | iwerddon,cymru | 200  | 1     |
      | lloegr       |              | 503    | 0     |
      |              | lloegr       | 503    | 0     |
      | cymru,lloegr | lloegr       | 503    | 0     |
      | cymru        | lloegr       | 503    | 0     |

  Scenario: the rank of an account is passed over
    Given a gateway whose configuration has the accounts anna and berta
    And the account berta has the rank 3
    When a request is sent with the key of berta
    And a request is sent with the key of anna
    Then the ranks of the two requests were 3 and 0

  Scenario: a quota is not kept, or its refusals say no time
    Given a gateway whose configuration has the accounts anna and berta
    And the account anna has a quota of 1 request a second
    When 40 requests are sent with the key of anna, and the leader grants nothing more
    Then at most 25 are answered 200, and the others 429 with a time to return
    And requests with the key of berta are answered 200

  Scenario: a request that no server runs uses up a quota
    Given a gateway whose configuration has the accounts anna and berta
    And the account anna has a quota of 1 request a second
    And no server that listens
    When 40 requests are sent with the key of anna, and the leader grants nothing more
    Then none is answered 429
