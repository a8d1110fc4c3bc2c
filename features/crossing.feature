Feature: A call leaves its data centre where that changes what its caller gets

  The pattern: data centres with one or two servers of a service each, whose speeds differ three to
  one and which are asked for 0.8 to 1 times their slots; links between them at 0.14 of a lookup's
  worth a KB, or at a twentieth of that. Lookups take 220 ms of 600 and carry 1.7 KB, entries 290 of
  800 and 6 KB, sheets 550 of 1,500 and 5.4 KB, and checks 55 of 200 and 0.3 KB.

  Scenario Outline: <request> stays as long as it is likely to be answered in time there
    Given <request> of <work> ms with <aim> ms to answer, <size> bytes large
    And a server near that has a wait of <near> ms, and one far with no wait
    Then it goes <where>

    Examples:
      | request | work | aim  | size | near | where |
      | lookup  | 220  | 600  | 1700 | 0    | near  |
      | lookup  | 220  | 600  | 1700 | 120  | near  |
      | lookup  | 220  | 600  | 1700 | 400  | far   |
      | sheet   | 550  | 1500 | 5400 | 500  | near  |
      | sheet   | 550  | 1500 | 5400 | 1200 | far   |
      | entry   | 290  | 800  | 6000 | 200  | near  |
      | entry   | 290  | 800  | 6000 | 700  | far   |
      | check   | 55   | 200  | 300  | 20   | near  |
      | check   | 55   | 200  | 300  | 130  | far   |

  Scenario: Of two calls with the same wait near, the one that moves fewer bytes crosses
    Given lookup of 220 ms with 600 ms to answer, 1000 bytes large
    And a server near that has a wait of 250 ms, and one far with no wait
    Then it goes far
    Given lookup of 220 ms with 600 ms to answer, 50000 bytes large
    Then it goes near

  Scenario: A call that can only be late stays
    Given lookup of 220 ms with 600 ms to answer, 1700 bytes large
    And a server near that has a wait of 300 ms, and one far with no wait
    And 590 ms of its time have passed
    Then it goes near

  Scenario: A call that can only be late is sent far once the near one refused, for late beats never
    Given sheet of 550 ms with 1500 ms to answer, 90000 bytes large
    And a server near that has a wait of 0 ms, and one far with no wait
    And 1490 ms of its time have passed
    And the server near refused it
    Then it goes far

  Scenario: A service without any server near is served from far
    Given sheet of 550 ms with 1500 ms to answer, 90000 bytes large
    And only a server far with no wait
    Then it goes far

  Scenario: A slow server near keeps what it can answer in time, and no more
    Given lookup of 220 ms with 600 ms to answer, 1700 bytes large
    And a server near that has a wait of 0 ms, and one far with no wait
    And the server near works at two thirds of the speed
    Then it goes near
    And the server near works at a fifth of the speed
    Then it goes far

  Scenario: A server near that fails half of its requests is left for one far
    Given lookup of 220 ms with 600 ms to answer, 1700 bytes large
    And a server near that has a wait of 0 ms, and one far with no wait
    And the server near fails half of its requests
    Then it goes far

  Scenario Outline: The chance to be late follows from the spread of the times seen
    Given answers that take <mean> ms, <deviation> ms more or less, with <left> ms left
    Then between <least> and <most> of 100 come late

    Examples:
      | mean | deviation | left | least | most |
      | 220  | 136       | 600  | 3     | 7    |
      | 220  | 136       | 220  | 32    | 38   |
      | 550  | 130       | 1500 | 0     | 1    |
      | 550  | 130       | 550  | 42    | 48   |
      | 550  | 130       | 0    | 100   | 100  |

  Scenario: Near first earns nearly as much, and moves at most half of the bytes
    Given the load of four data centres at 1.15 times its rate, speeds drawn by seeds 1 to 2
    When it is played for 8 seconds by the soonest end and by the chance to be late
    Then the latter earns at least as much less one in twenty-five
    And it moves at most half of the bytes

  Scenario: Nobody earns more than the bound
    Given the load of four data centres at 1.15 times its rate, speeds drawn by seeds 1 to 2
    When it is played for 8 seconds by the soonest end and by the chance to be late
    Then neither earns more than the bound, one in twenty aside
