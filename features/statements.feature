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
    Then its answer to a request that a gateway relays names that start
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

  Scenario Outline: a server gets no request for the time that its refusal names
    Given a gateway before 3 servers, of which the first <refuses>
    When the gateway serves a request
    And its suspension ends
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request
    And those requests were answered by others
    And one line tells that the first server is full, for 1000 ms

    Examples:
      | refuses                                            |
      | refuses for 1 s                                    |
      | fails with 503 for 1 s                             |
      | refuses for 1 s and breaks its refusal off         |

  Scenario: a full server gets requests once its time is over
    Given a gateway before 3 servers, of which the first refuses once for 0.2 s
    When the gateway serves a request
    And the gateway serves a request 0.4 s later
    Then the first server has got 2 requests

  Scenario Outline: a refusal that names no usable time, and an answer that is none, keep no request away
    Given a gateway before 3 servers, of which the first <answers>
    When the gateway serves a request
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

    Examples:
      | answers                                            |
      | refuses without a time                             |
      | answers, and names 1 s                             |

  Scenario Outline: a full server gets no request <whatever happens>
    Given a gateway before 3 servers, of which the first refuses for 1 s
    When the gateway serves a request
    And <whatever happens>
    And the gateway serves 30 requests for several objects
    Then the first server has got 1 request

    Examples:
      | whatever happens                                   |
      | its heartbeat says that it is ready                |
      | it is missing from a view and comes back           |
      | a probe reaches it                                 |

  Scenario: a new start of a full server gets requests
    Given a gateway before 3 servers, of which the first refuses for 1 s
    When the gateway serves a request
    And it starts again under its name
    And the gateway serves 30 requests for several objects
    Then the first server has got more than 1 request

  Scenario: a request is not sent to a server that is full before it connects
    Given a gateway before 3 servers, of which the first answers
    When the gateway serves a request, and its server is full once it was chosen
    Then the first server has got 0 requests
    And the request was answered

  Scenario: callers are refused at once while all servers are full, until the first has room
    Given a gateway before 2 servers, of which the first refuses for 1 s
    When the other server is full for 0.1 s
    And the gateway serves a request
    And the gateway serves another request
    Then it is refused within 0.1 s, to return after 50 to 150 ms
    And the first server has got 1 request

  Scenario: a full server is judged neither slow nor failing
    Given a gateway before 3 servers, of which the first fails with 503 for 1 s
    When the gateway serves a request
    Then it has no evidence against the first server

  Scenario: a gateway sends few requests to a server that was full, and more with each success
    Given a gateway that was told by a server to wait 1 s
    Then it sends 0 requests at once 0.9 s later
    And it sends 8 requests at once 1.1 s later
    When a request is answered 1.6 s later
    Then it sends 16 requests at once 1.6 s later
    When the server says again to wait 1 s, 1.7 s later
    Then it sends 0 requests at once 2.6 s later
    And it sends 8 requests at once 2.8 s later
    When 2 requests are answered 3.3 s later
    Then it sends any number of requests 3.3 s later

  Scenario: an answer to a request from before a refusal says nothing about the server after it
    Given a gateway that was told by a server to wait 1 s
    When a request that was sent before is answered 1.6 s later
    Then it sends 8 requests at once 1.6 s later

  Scenario: gateways do not return to a server that was full at the same moment
    Given 60 gateways that were told by a server to wait 2 s
    Then none returns within 2 s
    And at most 12 of them return within the same 5 ms
    And all have returned after 2.05 s
    And callers are told by each to come after 2.05 s

  Scenario: a time beyond all bounds ends
    Given a gateway that was told by a server to wait 1000000 s
    Then it sends 8 requests at once 301 s later

  Scenario Outline: the time that an instance names is read as a number of seconds
    Given an instance that answers <status> with Retry-After "<text>"
    Then it names <wait_ms> ms

    Examples:
      | status | text                          | wait_ms |
      | 503    | 2                             | 2000    |
      | 503    | 0.25                          | 250     |
      | 503    | -1                            | 0       |
      | 503    | nan                           | 0       |
      | 503    | inf                           | 0       |
      | 503    | soon                          | 0       |
      | 503    | Sun, 06 Dec 2026 16:00:00 GMT | 0       |

  Scenario Outline: a malformed start in a relayed answer names no server
    Then the text "<text>" names no start

    Examples:
      | text                    |
      | server                  |
      | 12                      |
      | -1 server               |
      | 1e3 server              |
      | 99999999999999999999 server |

  Scenario: the load that another server at the address reports is not that of the server
    Given a gateway before 2 servers, of which the first is another server, with a load of 9
    When the gateway serves a request
    Then it knows no load of the first server
