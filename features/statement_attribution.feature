Feature: which start of a server a statement is of, and what ends it

  Scenario: a start that leaves before the view has it gets no new request
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    And the first server has started again, and the view has its earlier start
    When the gateway serves a request
    And its view has the later start
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others

  Scenario: a start that is full before the view has it gets no request meanwhile
    Given a gateway before 3 servers, of which the first refuses for 1 s
    And the first server has started again, and the view has its earlier start
    When the gateway serves a request
    And its view has the later start
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others

  Scenario: a start that says that it leaves while the view learns of it gets no new request
    Given a gateway before 3 servers, of which the first says after 0.3 s that it leaves
    And a health check of the first server shows that it leaves
    When the gateway serves a request, and the server starts again meanwhile
    And no start is in doubt any more
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others

  Scenario Outline: a start in doubt gets no request while its health check shows <what>
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    And a health check of the first server shows <what>
    When the gateway serves a request
    And the server answers requests without a word on itself
    And its view has a later start of the first server
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others
    And the first server was checked
    When a health check of the first server shows nothing against it
    And no start is in doubt any more
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

    Examples:
      | what                                               |
      | that it fails                                      |
      | another server                                     |
      | nothing, as it does not answer                     |
      | nothing, as it breaks off                          |

  Scenario: a health check says for how long a start in doubt is full
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    And a health check of the first server shows that it is full for 1 s
    When the gateway serves a request
    And the server answers requests without a word on itself
    And its view has a later start of the first server
    And no start is in doubt any more
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And one line of a health check tells that it is full, for 1000 ms

  Scenario: a start that is full when it is checked is used once its time is over
    Given a gateway before 3 servers, of which the first refuses for 1 s
    When the gateway serves a request
    And the server answers requests without a word on itself
    And its view has a later start of the first server
    And no start is in doubt any more
    And the gateway serves a request 1.2 s later
    Then the first server has got 2 requests

  Scenario: a health check of a start that is over ends no doubt
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And the server answers requests without a word on itself
    And a health check of the first server shows nothing against it
    And health checks of the first server take 0.3 s
    And its view has a later start of the first server
    And its view has another start, which leaves, while that one is checked
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request

  Scenario: a start is checked once
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And it starts again under its name
    And no start is in doubt any more
    And its heartbeat says that it is ready
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request
    And the first server was checked 1 time

  Scenario: a start at another address is not checked
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And the first server starts again at another address
    And the gateway serves 30 requests for several objects
    Then requests have reached its new address
    And neither was checked

  Scenario: a start is checked if another gateway relayed what an earlier one said
    Given a gateway before 3 servers, of which the first answers
    And a health check of the first server shows that it leaves
    And another gateway, which relays an answer of the first server that leaves
    When the gateway serves a request while it reaches no server
    And its view has a later start of the first server
    And the gateway serves 30 requests for several objects
    Then the first server has got 0 requests

  Scenario Outline: a start whose service names no usable health check is not checked
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    And the health check of the service is at "<path>"
    When the gateway serves a request
    And it starts again under its name
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request
    And neither was checked

    Examples:
      | path       |
      |            |
      | healthz    |
      | /a b       |

  Scenario Outline: what the answer to a health check shows
    Given a health check that is answered <status>, which says <saying>
    Then the check shows that it is <outcome>

    Examples:
      | status | saying                                | outcome |
      | 200    | nothing                               | usable  |
      | 200    | its name                              | usable  |
      | 200    | that it leaves                        | leaving |
      | 200    | another name                          | unknown |
      | 404    | nothing                               | usable  |
      | 500    | nothing                               | usable  |
      | 503    | nothing                               | unknown |
      | 503    | its name                              | unknown |
      | 503    | that it leaves                        | leaving |
      | 503    | for how long it is full               | full    |
      | 503    | another name                          | unknown |
      | 421    | that it leaves                        | unknown |

  Scenario: a start that fails its checks keeps no other from being checked
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    And one start is checked at a time
    And a health check of the first server shows that it fails
    When the gateway serves a request
    And the second server says that it leaves
    And its view has later starts of both
    Then only the first server is still in doubt after 0.5 s

  Scenario: a statement that comes while a start is checked leaves it in doubt
    Given a start in doubt that is being checked
    When the earlier start says again that it leaves
    And the check ends
    Then the start is still in doubt
    And a later start is in doubt too

  Scenario: what a start says of itself puts only later starts in doubt
    Given what 3 starts of a server have said
    Then none of the first two is in doubt by the third
    And a fourth is in doubt by each of them

  Scenario: a gateway keeps statements of a bounded number of names and starts
    Given what 10 starts of each of 5000 servers have said
    Then it keeps 4096 names and at most 8 starts of each

  Scenario: a server that was full gets requests beside one that takes long
    Given a gateway before 1 servers, of which the first answers
    And the first server holds its first request, and refuses the second for 0.2 s
    When the gateway serves a request every 0.1 s for 1.5 s beside the one that is held
    Then requests were answered after the refusal

  Scenario: answers to requests sent before a refusal do not end the slow return
    Given a gateway before 1 servers, of which the first answers
    And the first server answers 3 requests after 0.6 s, then refuses one for 0.2 s
    When the gateway serves 4 requests at once
    Then at most 8 requests at once may be sent to the first server

  Scenario: a retry that is not sent leaves the retry budget to the next server
    Given a gateway before 3 servers, of which the first breaks off after 0.2 s
    When the gateway serves a request, and the second server leaves once it was chosen
    Then the request was answered

  Scenario: a server that has moved gets requests at its new address only
    Given a gateway before 2 servers, of which the first answers
    When the gateway serves a request
    And the first server moves to another address under its start
    And the gateway serves 30 requests for several objects
    Then no request has reached its earlier address since
    And requests have reached its new address
