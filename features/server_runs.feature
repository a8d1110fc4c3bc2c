Feature: What is accepted for one run of a backend server is sent to no other

  # Guards against requests that wait for a slot and are run by the next service at the address.
  Scenario Outline: A request that waits for a server is refused once <happens>
    Given a gate beside a server of "entries" with 1 slot, and 3 requests for it
    When <happens>
    And the server answers what it has got
    Then the 2 that waited are refused as not run
    And the server has got just the first one, for "i-1"

    Examples:
      | happens                                                     |
      | another service has the address and was started later       |
      | another service has the address and its start isn't known   |
      | another service has the address, after "i-1" has expired    |
      | "i-1" is replaced, as an answer of another server says      |
      | "i-1" leaves                                                |
      | "i-1" expires                                               |

  # Guards against the next service at an address where neither server has a name.
  Scenario: A request that waits for a server without a name isn't sent to one of another service
    Given a gate beside a server of "entries" without a name, and 3 requests for it
    When a server without a name announces another service there
    And the server answers what it has got
    Then the 2 that waited are refused as not run
    And the server has got just the first one, for ""

  # Guards against requests that run at the next service since it came while they were being sent.
  Scenario Outline: A request that has a slot is refused if <moment> <happens>
    Given a gate beside a server of "entries" with 1 slot
    When a request for it is accepted, and <moment> <happens>
    Then it is refused as not run
    And the server has got nothing

    Examples: Before anything was done
      | moment            | happens                                                   |
      | before it is sent | another service has the address and was started later     |
      | before it is sent | another service has the address and its start isn't known |
      | before it is sent | "i-1" is replaced, as an answer of another server says    |
      | before it is sent | "i-1" expires                                             |

    Examples: While it waits for a connection
      | moment                        | happens                                                   |
      | while a connection is opened, | another service has the address and was started later     |
      | while a connection is opened, | another service has the address and its start isn't known |
      | while a connection is opened, | "i-1" is replaced, as an answer of another server says    |
      | while a connection is opened, | "i-1" expires                                             |

  # Guards against a connection to a server that has ended, which is used for the next one.
  Scenario: A request to the next run isn't sent on a connection of the one before
    Given a gate beside a server of "entries" with 1 slot, and 1 request for it
    When another service has the address and its start isn't known
    And the first request is answered
    And a request for "racebook" is accepted
    Then it was sent on a connection of its own, for "i-2"
    And the first connection is closed

  # Guards against a sound server that is taken away for an answer to a request of the run before.
  Scenario: A refusal as another instance is charged to the instance that was expected
    Given a gate beside a server of "entries" with 1 slot, and 1 request for it
    When the server has the name "i-1" and another start
    And the first request is answered as one for another instance
    Then "i-1" still serves at the gate

  # Guards against a server that is sent more than it has room for after a heartbeat came too late.
  Scenario: What runs at a server still counts after a late heartbeat of one before it
    Given a gate beside a server of "entries" with 1 slot, and 1 request for it
    When another service has the address and its start isn't known
    And "i-1" is heard again
    And another request for "entries" is accepted or refused
    Then the server has got just the first one, for "i-1"

  # Guards against answers of a run that are counted for the version of the next one.
  Scenario: An answer of a run that has ended isn't counted for the next one
    Given a gate beside a server of "entries" with 1 slot, and 1 request for it
    When another service has the address and its start isn't known
    And the first request is answered
    Then nothing is counted for the server that is there now

  # Guards against requests at a server that has said that it can't take any yet.
  Scenario: A request that waits isn't sent to a server that is starting
    Given a gate beside a server of "entries" with 1 slot, and 2 requests for it
    When "i-1" says that it is starting
    And the server answers what it has got
    Then the server has got just the first one, for "i-1"

  # Guards against requests at the wrong server, twice, too many, or lost, as servers change.
  Scenario: Whatever becomes of the servers at an address, each request is for the one that runs it
    When servers of two services get an address in turn with fixed seeds
    Then each ran only what was for it, and each request was answered once, truthfully

  @known_red
  Scenario: Nor is a server that runs taken for replaced, in any of a hundred seeds
    When servers of two services get an address in turn with seeds 1 to 100
    Then each ran only what was for it, and each request was answered once, truthfully
