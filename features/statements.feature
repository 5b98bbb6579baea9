Feature: what backend servers say of themselves in their answers

  Scenario Outline: a server gets no new request once an answer says that it leaves
    Given a gateway before 3 servers, of which the first <says so>
    When the gateway serves a request
    Then the first server has got 1 request
    When its suspension ends
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others
    And one line tells that the first server leaves, and by which request

    Examples:
      | says so                                            |
      | says in an answer that it leaves                   |
      | says in a refusal that it leaves                   |
      | says in a failure that it leaves                   |
      | says in an interim answer that it leaves           |
      | says that it leaves and breaks its answer off      |
      | says that it leaves and never ends its answer      |
      | says so once                                       |

  Scenario: a server gets no new request once it has said so to a caller that left
    Given a gateway before 3 servers, of which the first says that it leaves and never ends its answer
    When the gateway serves a request whose caller leaves after 0.2 s
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others

  Scenario: an answer to another request does not say that its server leaves
    Given a gateway before 3 servers, of which the first says in an answer to another request that it leaves
    When the gateway serves a request
    And its suspension ends
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

  Scenario Outline: a server that leaves gets no new request <whatever happens>
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And <whatever happens>
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others

    Examples:
      | whatever happens                                   |
      | its heartbeat says that it is ready                |
      | it is missing from a view and comes back           |
      | its suspension ends                                |
      | a probe reaches it                                 |

  Scenario: a request is not sent to a server that leaves while it connects
    Given a gateway before 3 servers, of which the first answers
    When the gateway serves a request, and its server leaves once it was chosen
    Then the first server has got 0 requests
    And the request was answered

  Scenario: a retry does not go to a server that leaves while the first attempt runs
    Given a gateway before 2 servers, of which the first breaks off after 0.2 s
    When the gateway serves a request, and the other server leaves meanwhile
    Then no other server has got a request

  Scenario: a new start under the same name gets requests
    Given a gateway before 3 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And it starts again under its name
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

  Scenario: a late answer of an earlier start harms no new start
    Given a gateway before 3 servers, of which the first says after 0.3 s that it leaves
    When the gateway serves a request, and the server starts again meanwhile
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

  Scenario: callers are refused at once when all servers leave
    Given a gateway before 1 servers, of which the first says in an answer that it leaves
    When the gateway serves a request
    And the gateway serves another request
    Then it is refused within 0.1 s, with a time to return

  Scenario: a gateway learns from a relayed answer that its server leaves
    Given a gateway before 3 servers, of which the first answers
    And another gateway, which relays an answer of the first server that leaves
    When the gateway serves a request while it reaches no server
    And the gateway serves 30 requests for several objects
    Then the first server has got 0 requests

  Scenario: a gateway names the server that leaves to the gateway that relays, and to no caller
    Given a gateway before 1 servers, of which the first says in an answer that it leaves
    Then its answer to a relayed request names that start
    And its answer to a caller names none

  Scenario: one change tells all gateways that a server leaves
    Given a control group that knows a server as ready
    When 12 gateways report that it leaves
    Then one change records that it drains
    And calls that the server sent before and after do not undo it
    And a new start of it is ready

  Scenario: a gateway reports a departure until its view has it
    Given a gateway whose server has said that it leaves
    When its report is lost
    Then it reports the departure again
    When its view has the server as draining
    Then it reports no departure

  Scenario: the departure of an earlier start is not recorded for a new one
    Given a control group that knows a server as ready
    When the server starts again, and 12 gateways report that the earlier start leaves
    Then no change is made
