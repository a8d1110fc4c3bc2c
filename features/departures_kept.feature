Feature: What is kept of departures is complete, bounded, and read as it was written

  # Guards against a later process that asks only keepers which were never told.
  Scenario: Of the keepers that have to answer, one has confirmed
    Then that is so for 1 to 50 keepers, and none has to answer where there are none

  # Guards against an earlier message that takes back a later one.
  Scenario Outline: Messages in any order are merged to the furthest stage of each instance
    Given 300 random messages of 10 instances with seed <seed>
    Then each order of them gives the furthest stage of each instance

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against memory that grows with each departure, and old ones that push out new ones.
  Scenario: Of one daemon the last 16 are kept
    When the daemon at "10.0.0.1:7" tells 100 departures
    Then the last 16 are kept for it

  Scenario: Of very many daemons those that told last are kept
    When 2000 daemons tell a departure each
    Then the last 1024 of them are kept

  Scenario: What was told long ago is forgotten
    When the daemon at "10.0.0.1:7" tells 1 departures
    And 601 s later the daemon at "10.0.0.2:7" tells 1 departures
    Then nothing is kept for "10.0.0.1:7"

  # Guards against a keeper that was told before its start, and doesn't know that it has forgotten.
  Scenario Outline: A keeper that was started <when> may answer for what it knows: <may>
    Given a keeper that was started <when>
    Then its answer is reliable: <may>

    Examples:
      | when                | may |
      | with the fleet      | yes |
      | 59 s ago            | no  |
      | 61 s ago            | yes |

  Scenario: Departures cross the network as they are
    Then a frame with departures is decoded as it was

  # Guards against a row of the former release, and rows that other writers have spoilt.
  Scenario Outline: A row <with> is read as <result>
    Given the row of a daemon <with>
    Then it names <result>

    Examples:
      | with                                 | result               |
      | of the former release                | a server             |
      | with a departure                     | a server and who left |
      | with a text for a departure          | nothing              |
      | with a negative start of a departure | nothing              |
      | with too many departures             | nothing              |

  # Guards against a former write, whose answer was lost, that undoes an acknowledged departure.
  Scenario Outline: A write that is done late doesn't undo a departure that was stored since
    Given a store that does a write of <whom> later, without an answer
    When a departure is stored, and the late write is done
    Then the stored row still has that departure

    Examples:
      | whom               |
      | this process       |
      | the former process |

  # Guards against a departure that the former process acknowledged, and the present one overwrites.
  Scenario: A departure in a late write of the former process is learned and kept
    Given a store that does a write of the former process later, with a departure
    When the late write is done, and then another departure is stored
    Then the stored row has both departures, and the first one was reported
