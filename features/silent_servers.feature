Feature: Connections to a backend server that have gone silent cost one request, not one each

  # Guards against one more lost request for each idle connection to a server after one was found silent.
  Scenario Outline: One request pays for the idle connections that went silent together
    Given a gate whose connections to its server pass through a network, with 4 of them idle
    When the open connections to the server go silent "<direction>" and 4 requests that may be repeated follow in turn
    Then one of them at most gets no answer
    And the gate has told which server was silent, for how long, and what was sent to it

    Examples:
      | direction |
      | both      |
      | there     |
      | back      |

  # Guards against doubts about idle connections because a single request takes too long.
  Scenario: A server that answers others meanwhile keeps its idle connections
    Given a gate whose connections to its server pass through a network, with 4 of them idle
    When one request gets no answer until its deadline while 2 others are answered
    Then 3 requests at once open 1 connection at most
