Feature: Randomised runs hold the invariants

  Scenario: A fleet under loss, delay, restarts, outages and partitions
    When the randomised fleet runs with fixed seeds
    Then every kind of step happened and no invariant was violated

  Scenario: Whatever arrives of a backend server's runs, none comes back
    When heartbeats and farewells of many runs arrive in any order, late and twice
    Then no run came back that was followed, has left or drains

  Scenario: Whatever daemons hear of one another's servers, the cause is refused and no other
    When servers end under one request and by other causes, and records come in any order
    Then all daemons agree on the cause, and what was answered is refused nowhere

  # Guards against departures that are forgotten by whatever trouble comes in a row.
  Scenario: Whatever becomes of a daemon, its store and its keepers, no run that has left is served
    When a daemon is killed again and again with fixed seeds, and servers beside it leave
    Then no acknowledged departure was forgotten, and sound servers are served in the end
