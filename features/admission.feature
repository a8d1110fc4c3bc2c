Feature: The daemon beside a backend server alone admits, and its refusal is proof

  Scenario Outline: A request is refused without running
    Given a backend server of "roster" with 2 slots that is "<state>"
    When a request for "<service>" arrives
    Then it is refused as "<reason>" with verdict "not_run"

    Examples:
      | state    | service | reason     |
      | starting | roster  | cold       |
      | draining | roster  | draining   |
      | none     | roster  | no_backend |
      | serving  | booking | no_backend |

  Scenario: Reserved slots stay free for their entry
    Given a backend server of "roster" with 3 slots that is "serving"
    And 2 of its slots are reserved for "booking"
    When 3 requests of "bulk" with 5 slots, 0 reserved and queue 0 arrive
    Then 1 of them is admitted
    When 2 requests of "booking" with 5 slots, 2 reserved and queue 0 arrive
    Then 2 of them is admitted

  Scenario: A queued request that can't meet its deadline is dropped and told when to return
    Given a backend server of "roster" with 1 slots that is "serving"
    When 3 requests of "bulk" with 1 slots, 0 reserved and queue 5 arrive
    And time passes their deadline
    Then the queued ones are refused as "queue_timeout" with a time to come back

  Scenario: The end of one request admits the one with the nearest deadline
    Given a backend server of "roster" with 1 slots that is "serving"
    When requests arrive with deadlines 9, 7 and 5
    And the first one ends
    Then the one with deadline 5 runs next

  Scenario: An attempt that never arrived is fenced for good
    Given a backend server of "roster" with 2 slots that is "serving"
    When somebody asks about an attempt that has not arrived
    Then the answer is "not_run"
    And the attempt is refused as "fenced" when it arrives late

  Scenario: An attempt that runs may have run
    Given a backend server of "roster" with 2 slots that is "serving"
    When a request for "roster" arrives
    And somebody asks about that attempt
    Then the answer is "may_have_run"

  Scenario: An attempt id that comes twice runs once, and the second is not told "not_run"
    Given a backend server of "roster" with 2 slots that is "serving"
    When a request for "roster" arrives
    And the same attempt arrives again
    Then the second is refused with verdict "may_have_run" and one runs

  Scenario: A queued attempt that is asked about is taken out and never runs
    Given a backend server of "roster" with 1 slots that is "serving"
    When 2 requests of "bulk" with 1 slots, 0 reserved and queue 5 arrive
    And somebody asks about the queued attempt
    Then the answer is "not_run"
    And the end of the first one admits nothing

  Scenario: An attempt older than the memory may have run
    Given a backend server of "roster" with 2 slots that is "serving"
    When somebody asks about an attempt older than the memory
    Then the answer is "may_have_run"
