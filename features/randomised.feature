Feature: Randomised runs hold the invariants

  Scenario: A fleet under loss, delay, restarts, outages and partitions
    When the randomised fleet runs with fixed seeds
    Then every kind of step happened and no invariant was violated
