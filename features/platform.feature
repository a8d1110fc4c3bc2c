Feature: The platform's adapter over HTTP, against the stand-in

  Background:
    Given a stand-in platform and the adapter for it

  Scenario: A transaction under conditions is all or nothing
    When row "a" is written where there is none
    Then writing rows "a" and "b" where there are none fails and leaves no row "b"
    And writing row "a" by its tag succeeds, and by the old tag fails

  Scenario: Objects are kept under their name
    When object "x" is stored twice
    Then it is read back as it was stored, and object "y" is not there

  Scenario Outline: A fault for the next requests ends by itself
    Given the stand-in has the fault "<kind>" for the next 2 requests
    When row "a" is read 3 times
    Then <errors> of the reads fail

    Examples:
      | kind       | errors |
      | outage     | 2      |
      | slow       | 2      |
      | rate_limit | 2      |

  Scenario: The answer of a write is lost after it took effect
    Given the stand-in has the fault "lose_answer" for the next 1 requests
    When row "a" is written and the answer is lost
    Then row "a" is there

  Scenario: A fault for a time ends by itself
    Given the stand-in has the fault "outage" for a short time
    Then row "a" can be read again after it

  Scenario: An unknown fault is refused
    Then the stand-in refuses the fault "flood"

  Scenario: Metrics go to statsd
    Given a daemon that reports to a statsd server
    Then counters and gauges of the daemon arrive there
