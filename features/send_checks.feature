Feature: what is checked right before a request is sent still holds when it is

  Scenario Outline: a pause between the last check of a request and its write sends it by an outdated view
    Given a backend server and a pool with <connections> to it
    When the event loop goes on after the last check of a request of <size> bytes
    Then the server has been sent the head of the request by then

    Examples:
      | connections         | size  |
      | no connection       | 0     |
      | no connection       | 2000  |
      | an idle connection  | 0     |
      | an idle connection  | 2000  |
      | an idle connection  | 90000 |

  Scenario: a request that the last check forbids is written
    Given a backend server and a pool with an idle connection to it
    When the last check of a request forbids it
    Then the server is sent nothing, and the connection is kept
