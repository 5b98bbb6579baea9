Feature: connections between processes

  Scenario: a silent channel is replaced by one that works
    Given a process that answers behind a proxy
    And a working channel to it through the proxy
    When the open connections go silent for good while new ones work
    Then calls work again within 3 more timeouts

  Scenario: a call without the token is refused
    Given a process that answers behind a proxy
    When it is called with another token
    Then the call is refused

  Scenario: a refusal keeps its kind and its run over the wire
    Given a process that refuses as overloaded with run unknown
    When it is called
    Then the caller gets the same kind and run

  Scenario: a call to a process that has ended is reported as not run
    Given the address of a process that has ended
    When it is called
    Then the call failed and was not run

  Scenario: a new host gets the state in few bytes
    Given a control host whose 444 servers have changed 3 times each
    When a new host pulls from it
    Then it gets 444 servers
    And 8 hosts get as much over a link of 2 Mbit/s within the timeout of a pull
