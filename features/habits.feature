Feature: Health checks tell whether a server stops what is cut off

  A simulated server with as much to do as it has slots for. A third of the callers leave before
  their answer, and health checks wait for a slot like requests.

  # Guards against slots that stay out of use for requests that a server has dropped.
  Scenario Outline: A server that drops what is cut off is recognised, with <slots> slots and <times> service times
    When a server with <slots> slots and <times> service times drops what is cut off, in 20 plays
    Then it is recognised within 20 seconds in at least 18 of them

    Examples:
      | slots | times       |
      | 2     | constant    |
      | 2     | exponential |
      | 2     | mixed       |
      | 4     | constant    |
      | 4     | exponential |
      | 4     | mixed       |

  # Guards against slots that are taken for free at a server that goes on.
  Scenario Outline: A server that goes on is not taken for one that drops, with <slots> slots and <times> service times
    When a server with <slots> slots and <times> service times goes on with what is cut off, in 40 plays
    Then it is taken for one that drops in none of them

    Examples:
      | slots | times       |
      | 1     | exponential |
      | 2     | constant    |
      | 2     | exponential |
      | 2     | mixed       |
      | 4     | exponential |
      | 4     | mixed       |

  # Guards against evidence from the prompt health checks alone, where those that wait fail.
  Scenario: A server that goes on and fails health checks while it is full is not taken for one that drops
    Given health checks fail that wait for a slot
    When a server with 2 slots and exponential service times goes on with what is cut off, in 40 plays
    Then it is taken for one that drops in none of them

  # Guards against a stream of health checks at a server that refuses them while it is full.
  Scenario: A server that refuses health checks while it is full gets few of them
    Given a full server with 2 slots, of which a request was cut off
    When each health check that is sent to it in 10 seconds is refused
    Then at most 21 have been sent
