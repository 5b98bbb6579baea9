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
