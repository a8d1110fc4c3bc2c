Feature: Long requests leave slots to short, more urgent ones

  The load: confirmations of 122 ms with an objective of 312 ms, calls of 43 ms that other servers
  make, and exports of 689 ms with an objective of 3,238 ms, at servers of different speeds with five
  slots each, which are asked for 1.1 times their slots.

  # Guards against exports that take the slots of confirmations and calls.
  Scenario: Urgent requests and calls are served at least as often as the least urgent ones
    When 3 plays of 20 seconds of exports beside confirmations and calls run at 1.1 of the slots
    Then confirmations and calls are served at least 0.98 of the time
    And at most 0.01 of the lookups that ran failed because a call of theirs was refused
    And no route is served less than a quarter as often as all

  # Guards against slots that stay idle for urgent requests that don't come.
  Scenario Outline: As many slots are kept as urgent requests use
    Then a server with <slots> slots keeps <kept> where urgent requests use <use> and <running> of them run

    Examples:
      | slots | use | running | kept |
      | 5     | 0.2 | 0       | 0    |
      | 5     | 0.3 | 0       | 1    |
      | 5     | 1.5 | 0       | 2    |
      | 5     | 1.5 | 1       | 1    |
      | 5     | 1.5 | 3       | 0    |
      | 5     | 4.5 | 0       | 2    |
      | 3     | 2.0 | 0       | 0    |
