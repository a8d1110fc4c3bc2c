Feature: Retries and splits keep to their bounds without a coordinator

  Scenario: The fleet's repeats stay within the bound whatever is asked
    Given 11 daemons with a bound of 0.2 and a slack of 62 in 10 seconds
    When each wants to repeat all of its 40 requests a second for 30 seconds
    Then no window of 10 seconds holds more repeats than the bound
    And at least half of the bound was used

  Scenario: Calls of repeated runs are charged where they begin
    Given 1 daemons with a bound of 0.2 and a slack of 0 in 10 seconds
    When 100 requests begin beside a server half of whose work is repeated
    Then no repeat is allowed

  Scenario: Calls that others wait for find budget left while less urgent requests want it all
    Given 11 daemons with a bound of 0.2 and a slack of 62 in 10 seconds
    When each wants to repeat half of 20 urgent and 20 other requests a second for 30 seconds
    Then no window of 10 seconds holds more repeats than the bound
    And at least 0.6 of the repeats were urgent

  Scenario: Without urgent ones, less urgent requests use the whole budget
    Given 11 daemons with a bound of 0.2 and a slack of 62 in 10 seconds
    When each wants to repeat half of 0 urgent and 40 other requests a second for 30 seconds
    Then at least half of the bound was used

  # Guards against a few requests of an urgent organisation that take half of everybody's retries.
  Scenario: Few requests of a more urgent organisation leave nearly the whole budget to the others
    Given 1 daemons with a bound of 0.2 and a slack of 0 in 10 seconds
    When 5 requests of an organisation of priority 0 and 95 of one of priority 1 arrive
    Then 17 repeats of the latter are allowed

  # Guards against an urgent organisation that finds no retries left.
  Scenario: The share of a more urgent organisation is kept for it
    Given 1 daemons with a bound of 0.2 and a slack of 0 in 10 seconds
    When 80 requests of an organisation of priority 0 and 20 of one of priority 1 arrive
    Then 3 repeats of the latter are allowed

  Scenario Outline: A split keeps to its weights
    Given 5 daemons that share a route "<weights>"
    When each of them hands out 60 requests
    Then each part's share is within 0.02 of its weight

    Examples:
      | weights  |
      | 90,10    |
      | 50,30,20 |
      | 1,1      |

  Scenario: A part of weight 0 gets nothing
    Given 1 daemons that share a route "1,0"
    When each of them hands out 50 requests
    Then each part's share is within 0 of its weight

  Scenario: A caller that comes back is known by the time that it has left
    Given callers of "lookup" have 500 ms at first
    When one comes with 499 ms
    Then it is taken for a first try
    When one comes with 430 ms
    Then it has tried for 70 ms

  Scenario: Where first tries differ among themselves, only a much shorter time tells of a return
    Given first tries of "lookup" whose times differ between 1100 and 1296 ms
    When one comes with 1105 ms
    Then it is taken for a first try
    When one comes with 700 ms
    Then it has tried for about 466 ms
