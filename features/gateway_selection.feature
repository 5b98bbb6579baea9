Feature: the choice of the gateway that a request is relayed to

  Scenario: a request is relayed to a region that is neither its home nor its caller's
    Given an isolated gateway of cymru, others of cymru and of lloegr
    When it relays a request whose caller and home are of lloegr
    Then a gateway of lloegr is chosen
