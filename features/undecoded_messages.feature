Feature: messages that a peer cannot decode

  Scenario Outline: a request that cannot be decoded is no silence at either end
    Given a process that answers behind a proxy
    And the log of this process is kept
    When it is called with a request <oddity>
    Then the call is refused as malformed and not run
    And the receiver has counted 1 requests that it could not decode
    And the sender has counted 1 requests that were refused
    And 1 lines of peer_request_not_decoded and 1 of peer_request_refused are logged
    And it answers the next call

    Examples:
      | oddity                       |
      | of an unknown kind           |
      | of another method            |
      | without a field              |
      | with a field of another type |
      | cut off                      |
      | nested too deeply            |
      | of no bytes                  |
      | of no object                 |

  Scenario Outline: an answer that cannot be decoded fails the call
    Given a peer whose answers are messages <oddity>
    And the log of this process is kept
    When it is called
    Then the call failed and may have run
    And the caller has counted 1 answers that it could not decode
    And 1 lines of peer_answer_not_decoded and 0 of peer_request_refused are logged

    Examples:
      | oddity                       |
      | of an unknown kind           |
      | of another method            |
      | without a field              |
      | with a field of another type |
      | cut off                      |
      | nested too deeply            |
      | of no bytes                  |
      | of no object                 |

  Scenario: who sent an answer that cannot be decoded hears of it with the next call
    Given a peer whose answers are messages of an unknown kind
    And the log of this process is kept
    When it is called 4 times
    Then the caller has counted 4 answers that it could not decode
    And the peer has counted 3 answers that were not decoded
    And 1 lines of peer_answer_not_decoded and 1 of peer_answer_refused are logged

  Scenario: a parent hears that its changes could not be unpacked
    Given a peer whose packed view is cut off
    And the log of this process is kept
    When a host pulls from it 4 times
    Then the peer has counted 3 answers that were not decoded
    And 1 lines of peer_answer_not_decoded and 1 of peer_answer_refused are logged

  Scenario Outline: an odd notice of answers is passed over
    Given a process that answers behind a proxy
    And the log of this process is kept
    When it is called with the notice "<notice>"
    Then the call is answered
    And the peer has counted 0 answers that were not decoded

    Examples:
      | notice       |
      | Pull         |
      | Pull x       |
      | Pull -1      |
      | Pull 1 1     |
      | Unheard 1    |
      | Pull 99999999999 |

  Scenario: a request of a method that a peer does not offer is logged and counted
    Given a process that answers behind a proxy
    And the log of this process is kept
    When it is called by a method that it does not offer
    Then the call failed and may have run
    And the sender has counted 1 requests that were refused
    And 0 lines of peer_request_not_decoded and 1 of peer_request_refused are logged

  Scenario: many calls that cannot be decoded are all counted but fill no log
    Given a process that answers behind a proxy
    And the log of this process is kept
    When it is called 200 times with a request of an unknown kind
    Then the receiver has counted 200 requests that it could not decode
    And the sender has counted 200 requests that were refused
    And 1 lines of peer_request_not_decoded and 1 of peer_request_refused are logged

  Scenario: a renewal that an earlier build cannot read is told by its sender
    Given a control host of the earlier build 0d0000d, alone in its group
    And the log of this process is kept
    When a gateway of this build renews its lease there and reports a suspect
    Then the call is refused as malformed and not run
    And the sender has counted 1 requests that were refused
    And 0 lines of peer_request_not_decoded and 1 of peer_request_refused are logged

  Scenario Outline: changes that cannot be unpacked are pulled from another parent
    Given two parents of which the first answers with <packed>
    And the log of this process is kept
    When a host pulls from them
    Then it gets the view of the second parent and goes on
    And the caller has counted 1 answers that it could not decode
    And 1 lines of peer_answer_not_decoded and 0 of peer_request_refused are logged

    Examples:
      | packed                     |
      | a view cut off             |
      | a view that is not packed  |
      | a view without a field     |
      | a view of nested lists     |
      | changes cut off            |
      | changes that are not packed |
      | a change of an unknown kind |

  Scenario Outline: what no replica of this build can apply is not taken into its log
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    And 3 changes are accepted
    When a follower is sent <content> by the leader
    Then it is refused as malformed and the follower's log is as before
    And the follower runs on
    When 2 changes are accepted
    Then a change accepted meanwhile is on all hosts

    Examples:
      | content                         |
      | a command of an unknown kind    |
      | a command without a field       |
      | a command cut off               |
      | a command nested too deeply     |
      | a snapshot with a strange delta |
      | a snapshot cut off              |
      | a snapshot nested too deeply    |
