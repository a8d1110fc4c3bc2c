Feature: What a backend server says in its answers binds the whole fleet

  A server in need names the requests a second that it takes from all daemons together, for as long as
  its answers say so. A server that leaves says that, too.

  # Guards against a limit that is passed on to callers and that nobody keeps to.
  Scenario: A server that names a limit gets no more than that from all daemons together
    Given a server that names a limit of 15 a second, beside one of two daemons
    When callers of both daemons ask 60 times a second for 6 seconds
    Then in any 4 seconds the server gets at most 95 requests

  # Guards against new work at a server whose answers say that it leaves.
  Scenario: A server that says in its answers that it leaves gets no new work
    Given a server that says that it leaves, beside one of two daemons
    When callers of both daemons ask 60 times a second for 4 seconds
    Then the server gets nothing later than 2 seconds after its first answer

  # Guards against a limit that a restarted daemon learns only by sending all that callers ask for.
  Scenario: A daemon that was started again keeps to a limit that others have heard of
    Given a server that names a limit of 1 a second, beside one of two daemons
    And a caller of the other daemon has had an answer
    When the daemon beside the server is started again
    And callers of the other daemon ask 60 times a second for 4 seconds
    Then in any 4 seconds the server gets at most 11 requests

  # Guards against new work at a leaving server by a daemon that has been started since.
  Scenario: A daemon that was started again sends nothing to a server that others know to leave
    Given a server that says that it leaves, beside one of two daemons
    And a caller of the other daemon has had an answer
    When the daemon beside the server is started again
    And callers of the other daemon ask 60 times a second for 1 second
    Then the server has had 1 request, and all others were refused as not run

  # Guards against limits that only successes are read for.
  Scenario Outline: A limit in <answer> holds, too
    Given a server that names a limit of 1 a second, beside one of two daemons
    And it answers "<answer>"
    When callers of both daemons ask 60 times a second for 4 seconds
    Then in any 4 seconds the server gets at most 11 requests

    Examples:
      | answer                    |
      | a failure of its own      |
      | that it has not run a call |

  # Guards against refusals by a limited server that fail calls or draw on the retry budget.
  Scenario: Another server takes what one can't, and the retry budget is as it was
    Given a server that names a limit of 5 a second, beside one of two daemons
    And a server without a limit beside the other daemon
    When callers of both daemons ask 60 times a second for 4 seconds
    Then all of them are answered
    And in any 4 seconds the server gets at most 35 requests
    And no request was repeated

  # Guards against calls that fail after some refusals though a server has room.
  Scenario: The one server that has room is found among others at their limits
    Given a server that names a limit of 0.5 a second, beside one of two daemons
    And 6 more daemons beside servers that name the same
    And a server without a limit beside the other daemon
    When callers of both daemons ask 15 times a second for 3 seconds
    And 4 times nobody asks for 1.2 seconds, and then a caller of each daemon, while all tokens are used and that server is taken for slow
    Then all of them are answered

  # Guards against refusals that come late, or that don't say when to come back.
  @known_red
  Scenario: Where all servers are at their limits, callers are refused at once
    Given a server that names a limit of 15 a second, beside one of two daemons
    When callers of both daemons ask 60 times a second for 6 seconds
    Then in any 4 seconds the server gets at least 51 requests
    And those that are refused are told within 0.2 seconds, as not run, and when to come back

  # Guards against a limit of the last process that binds the next.
  Scenario: A new process of a server starts without a limit
    Given a server that names a limit of 1 a second, beside one of two daemons
    And a caller of the other daemon has had an answer
    When the server is started again as "i-2", and names none
    And callers of both daemons ask 30 times a second for 1 second
    Then the server has had at least 25 requests since

  # Guards against a server that stays unused because the last that others heard of it was its limit.
  Scenario Outline: A server whose limit has ended is used again, beside <count> daemons
    Given <count> daemons with the balancing policy "two_choice", each beside a server
    When callers of all ask 120 times a second, and one server names a limit of 15 a second for 4 seconds
    Then 4 to 9 seconds later it gets at least 0.7 of its share

    Examples:
      | count |
      | 8     |
      | 4     |
