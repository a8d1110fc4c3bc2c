Feature: Only the backend server's own whole answer to a request is passed on as a success

  Background:
    Given a daemon that speaks the users' headers, and a scripted backend server beside it

  Scenario: The last bytes of an answer without a length come together with a reset
    Given the server answers "part of an answer without a length, then a reset"
    When a caller posts a booking
    Then the caller sees a broken connection and not a short answer

  Scenario: An answer breaks off before its length
    Given the server answers "half of an answer with a length"
    When a caller posts a booking
    Then the caller sees a broken connection and not a short answer

  Scenario Outline: A success that can't be the server's own is none
    Given the server answers "<answer>"
    When a caller posts a booking
    Then the caller is told 502 with verdict "may_have_run"

    Examples:
      | answer                      |
      | a success without signature |
      | a success with an encoding  |
      | a success without the id    |
      | bytes that are no answer    |

  Scenario: An answer to another request comes first
    Given the server answers "an extra answer of another id, then the right one"
    When a caller posts a booking
    Then the caller gets the whole answer to that booking

  Scenario: A second answer follows the first on a kept connection
    Given the server answers "each request twice"
    When a caller posts a booking
    And a caller posts a booking
    Then the caller gets the whole answer to that booking

  Scenario: The server says that it did not run the request
    Given the server answers "not executed"
    When a caller posts a booking
    Then the caller is told 503 with verdict "not_run"
    And it is told when to come back

  Scenario: Another incarnation has the address
    Given the server answers "another instance"
    When a caller posts a booking
    Then the caller is told 503 with verdict "not_run"
    And the incarnation is retired, also when a late heartbeat of it arrives

  Scenario: A failure of the server is passed on with its signature
    Given the server answers "a failure of its own"
    When a caller posts a booking
    Then the caller gets the server's status 500 with its signature

  Scenario: The daemon says in whose name a request comes, and names the incarnation
    Given the server answers "what it was sent"
    When a caller posts a booking in the name of "somebody-else"
    Then the server saw the caller service "desk", the incarnation and what is left of the time
