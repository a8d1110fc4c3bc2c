Feature: Requests go where an answer is expected first

  The users' services have three to five servers whose speeds differ three to one, in data centres
  1.4 ms apart, and an answer's bytes between data centres are dear.

  Scenario: A fast server elsewhere goes before a slow one here
    Given servers "here" in suva-1 that takes 120 ms and "there" in suva-2 that takes 40 ms
    Then 20 of 20 lookups of suva-1 go to "there"

  Scenario: Large answers stay in their data centre while it can answer in time
    Given servers "here" in suva-1 that takes 60 ms and "there" in suva-2 that takes 40 ms
    And answers are 90000 bytes large
    Then 20 of 20 lookups of suva-1 go to "here"

  Scenario: A full server is passed over until its wait is over
    Given servers "here" in suva-1 that takes 40 ms and "there" in suva-2 that takes 40 ms
    And "here" reports no free slot and a wait of 100 ms
    Then 20 of 20 lookups of suva-1 go to "there"
    When 300 ms pass
    Then 20 of 20 lookups of suva-1 go to "here"

  Scenario: What was sent since the last report counts
    Given servers "here" in suva-1 that takes 40 ms and "there" in suva-2 that takes 40 ms
    And "here" reports 2 free slots and no wait
    When 3 lookups are sent to "here"
    Then 20 of 20 lookups of suva-1 go to "there"

  Scenario: A server that fails half of its requests is avoided, and tried again later
    Given servers "here" in suva-1 that takes 40 ms and "there" in suva-2 that takes 60 ms
    When "here" fails 10 of 20 requests
    Then 20 of 20 lookups of suva-1 go to "there"
    When 60000 ms pass
    Then 20 of 20 lookups of suva-1 go to "here"

  Scenario: A server that can't be reached is left alone, unless there is no other
    Given servers "here" in suva-1 that takes 40 ms and "there" in suva-2 that takes 60 ms
    When "here" can't be reached
    Then 20 of 20 lookups of suva-1 go to "there"
    When "there" can't be reached
    Then 20 of 20 lookups of suva-1 go to "here"

  Scenario: Comparing all servers answers more in time than two choices
    Given 5 servers of speeds 0.5, 1, 1, 1.5 and 1 with 6 slots, and lookups at 0.75 of what they can do
    When 3 daemons place 20 seconds of lookups by both ways
    Then "expected_finish" answers more in time than "two_choice"
