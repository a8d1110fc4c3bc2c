Feature: Connections to the store that have gone silent cost one time-out, and a slow store no storm

  # Guards against one more time-out for each idle connection after one was found silent.
  Scenario: What was idle beside a silent connection is not used again
    Given a client with 3 idle connections to a server behind a network
    When the open connections go silent and the client sends 2 requests, one after the other
    Then the first request times out, and the second is answered at once
    And the client has told which connection was silent, for how long, and what was sent into it

  # Guards against a write that goes into a connection which has been idle for long.
  Scenario Outline: What has been idle for a while is not believed
    Given a client with 2 idle connections to a server behind a network
    When the open connections go silent "<direction>", and 2.6 seconds pass
    And the client sends 1 requests, one after the other
    Then every request is answered at once

    Examples:
      | direction |
      | both      |
      | there     |
      | back      |

  # Guards against doubts that a server causes which is slow for all.
  Scenario: A slow server is not flooded with connections
    Given a client with 3 idle connections to a server behind a network
    When the server answers after 0.4 seconds and the client sends 8 requests, one after the other
    Then every request times out
    And at most 8 connections were opened meanwhile

  # Guards against a client that takes a pause of its own process for the silence of its connections.
  Scenario: A client that stood still throws no doubt on its connections
    Given a client with 2 idle connections to a server behind a network
    When the client stands still for 0.8 seconds under a request, and then sends 1 request
    Then every request is answered at once
    And at most 0 connections were opened meanwhile, and no connection is called silent

  # Guards against a configuration that stays in force past the bound while idle connections are tried in turn.
  Scenario Outline: A version that is written after the connections went silent is in force in time
    Given three daemons that reach the store through a network, with 2 connections each
    When the open connections to the store go silent "<direction>", and a version is written after <wait> seconds
    Then all daemons have it in force within 3 seconds of the silence, and 2 seconds of the write

    Examples:
      | direction | wait |
      | both      | 0.5  |
      | both      | 0.0  |
      | back      | 0.5  |
      | there     | 0.5  |

  # Guards against a row of a server that is written late, as its daemon tries silent connections.
  Scenario: A daemon's row is written at once after its idle connections went silent
    Given three daemons that reach the store through a network, with 2 connections each
    When 3 seconds pass, and the open connections to the store go silent
    Then a row that a daemon writes is stored within 0.3 seconds
