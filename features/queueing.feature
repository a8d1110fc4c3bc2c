Feature: Who waits for a slot is decided by the end that can be expected

  The load is that of the users' heavy days: work of 15, 60 and 240 ms at servers with six slots,
  asked for 1.1 times over, with objectives of 60, 200 and 600 ms and deadlines of 200, 500, 1500.

  Scenario: A request that would end after its objective is refused at once
    Given a busy server whose 6 slots hold work of 240 ms that has just begun
    When a lookup of 60 ms with an objective of 200 ms arrives
    Then it is refused at once and told when there will be room

  Scenario: A request that ends in time waits
    Given a busy server whose 6 slots hold work of 60 ms that has just begun
    When a lookup of 60 ms with an objective of 200 ms arrives
    Then it waits

  # Guards against a wait that is told by slots that a server has taken back.
  Scenario: Where a server has fewer slots than it works on, the first ends make no room
    Given a busy server whose 2 slots of 6 hold work of 60 ms that has just begun
    And 2 more that are 40 ms old
    When the server announces 2 slots
    Then a lookup of 60 ms with an objective of 200 ms is told a wait of 60 ms

  # Guards against slots taken for free as soon as a server that stood still shows signs of life.
  Scenario: What a server that stood still has not begun keeps its slot until it has had the time
    Given requests that take 60 ms, one of which was cut off after 20 ms at a server that stood still
    When the server shows signs of life after 2000 ms
    Then the slot of that request is in use at 2050 ms, and free at 2200 ms

  # Guards against slots that are taken for free since retries had little time left.
  Scenario: Requests that were cut off soon don't make others seem short
    Given requests expected to take 100 ms, of which 20 were cut off after 13 ms
    Then the slot of that request is in use at 250 ms, and free at 310 ms

  Scenario: Short work goes before long work that can spare the time
    Given a busy server whose 6 slots hold work of 60 ms that has just begun
    When a report of 240 ms with an objective of 600 ms arrives
    And a lookup of 60 ms with an objective of 200 ms arrives
    And a slot is free
    Then the lookup runs next

  Scenario: Long work leaves room for short work
    Given a busy server whose 6 slots hold work of 240 ms that is 200 ms old
    When a lookup of 48 ms with an objective of 250 ms arrives
    And reports of 240 ms with an objective of 600 ms arrive until one is refused
    Then a lookup of 48 ms with an objective of 250 ms still finds room

  Scenario: Long work leaves a slot to short calls that are more urgent
    Given an idle server with 6 slots
    And urgent calls of 40 ms have come 18 times a second for 3 seconds
    When 8 reports of 640 ms with an objective of 2100 ms arrive
    Then 5 slots are taken
    And an urgent call of 40 ms runs at once
    And a report that was waiting does not run before one has ended

  Scenario: A few short calls are worth no slot, nor are those that came long ago
    Given an idle server with 6 slots
    And urgent calls of 40 ms have come 2 times a second for 3 seconds
    When 8 reports of 640 ms with an objective of 2100 ms arrive
    Then 6 slots are taken
    Given an idle server with 6 slots
    And urgent calls of 40 ms have come 18 times a second for 3 seconds
    And nothing has come for 5 seconds
    When 8 reports of 640 ms with an objective of 2100 ms arrive
    Then 6 slots are taken

  Scenario: A server with two slots spares none
    Given an idle server with 2 slots
    And urgent calls of 40 ms have come 18 times a second for 3 seconds
    When 8 reports of 640 ms with an objective of 2100 ms arrive
    Then 2 slots are taken

  Scenario: A newcomer does not push out what was let in
    Given a busy server whose 6 slots hold work of 60 ms that has just begun
    When 6 checks of 15 ms with an objective of 100 ms arrive
    And reports of 240 ms with an objective of 600 ms arrive until one is refused
    Then no check is refused afterwards

  Scenario: A late answer takes a slot only while others are free
    Given an idle server with 6 slots
    When a lookup arrives 190 ms into its objective of 200 ms
    Then it runs
    Given a busy server whose 5 slots of 6 hold work of 60 ms that has just begun
    When a lookup arrives 190 ms into its objective of 200 ms
    Then it is refused at once and told when there will be room
    When a lookup that was refused before arrives 190 ms into its objective of 200 ms
    Then it runs

  Scenario: Past saturation most of what is served is in time
    Given 30 seconds of lookups and reports at 1.3 times what 6 slots can do
    When both ways to queue serve them
    Then "objective" answers at least 1.5 times as many in time as "deadline"
    And no kind is served less than a quarter as often as all
