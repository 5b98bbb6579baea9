Feature: answers that servers cut off, as callers get them

  Scenario Outline: an answer cut anywhere in its head or body is no success of any caller
    Given a gateway before a server whose answer has <form>
    When the answer is cut at each byte up to its <part> and the server then <end>
    Then each caller of a non-idempotent request gets 502
    And the requests before and behind it get their own whole answers

    Examples:
      | form                               | part | end    |
      | a length                           | end  | closes |
      | a length                           | end  | resets |
      | chunks                             | end  | closes |
      | chunks                             | end  | resets |
      | no length                          | body | closes |
      | no length                          | body | resets |
      | an interim response and a length   | end  | closes |
      | an interim response and a length   | end  | resets |
      | two interim responses and chunks   | end  | closes |
      | two interim responses and chunks   | end  | resets |

  Scenario: a caller whose first answer is cut in its head gets that of another server
    Given a gateway before a server whose answer has a length
    And a second server that answers
    When the answer is cut at each byte up to its body and the server then closes
    Then each caller of an idempotent request gets the whole answer
