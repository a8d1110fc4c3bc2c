Feature: A server gets no more at once than it has slots, whatever becomes of its requests

  A request that is cut off may go on at its server, which tells nobody. Four slots, work of 200 ms,
  and an entry of the catalogue that allows more than four. Servers that go on with a request whose
  connection is closed either close their end at once, too, or when the work is done.

  # Guards against slots that are taken for free when a caller has left or a deadline has passed.
  Scenario Outline: What <cut> does not make room at a server that <goes on>
    Given a server with 4 slots that <goes on>, beside one of two daemons
    When callers ask 40 times a second for 3 seconds, and <cut>
    Then the server has never had more than 4 requests at once

    Examples:
      | goes on                          | cut                                  |
      | works on behind a closed connection | all of them leave after 120 ms       |
      | works on behind a closed connection | a third of them leave after 120 ms   |
      | works on behind a closed connection | their deadlines pass after 150 ms    |
      | answers all the same             | all of them leave after 120 ms       |
      | answers all the same             | a third of them leave after 120 ms   |
      | answers all the same             | their deadlines pass after 150 ms    |

  # Guards against connections that are taken for closed while the server answers on them.
  Scenario: A server gets no more connections than it allows
    Given a server with 4 slots that answers all the same, beside one of two daemons
    And it allows 4 connections
    When callers ask 40 times a second for 3 seconds, and all of them leave after 120 ms
    Then the server has never had more than 4 connections at once

  # Guards against requests that are cut off by a lost connection and count as ended.
  Scenario: What a lost connection cuts off does not make room
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    When a caller asks now and then for 2 seconds, so that the daemon knows how long requests take
    And callers ask 40 times a second for 3 seconds, and each connection to the server is lost after 50 ms
    Then the server has never had more than 4 requests at once

  # Guards against lost connections that count as the end of requests of which nothing is known yet.
  Scenario: What a lost connection cuts off does not make room before any request has been answered
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    When callers ask 40 times a second for 2 seconds, and each connection to the server is lost after 50 ms
    Then the server has never had more than 4 requests at once

  # Guards against slots that are held for requests that a server has dropped.
  Scenario: A server that drops what is cut off is used as if it had not been sent
    Given a server with 4 slots that drops what is cut off, beside one of two daemons
    And it lets 2 requests wait, and its health checks wait for a slot, too
    When callers ask 36 times a second for 3 seconds, and two thirds of them leave after 50 ms
    And callers ask 36 times a second for 6 seconds, and two thirds of them leave after 50 ms
    Then the server has never had more than 4 requests at once
    And at least 95 in 100 of those that stayed are answered, the second time
    And the daemon knows that the server stops what is cut off

  # Guards against slots that are taken for free since health checks were misread.
  Scenario Outline: A server that goes on is not taken for one that stops what is cut off
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    And <health checks>
    When callers ask 36 times a second for 6 seconds, and two thirds of them leave after 50 ms
    Then the server has never had more than 4 requests at once
    And the daemon does not know that the server stops what is cut off

    Examples:
      | health checks                                                         |
      | it lets 2 requests wait, and its health checks wait for a slot, too   |
      | its health checks wait for nothing                                    |

  # Guards against work that is begun though it can't end in time, and ends as "may have run".
  Scenario: What can't end before its deadline is refused before it runs
    Given a server with 4 slots that drops what is cut off, beside one of two daemons
    When callers ask 26 times a second for 6 seconds, and their deadlines pass after 600 ms
    Then at most 2 in 100 of what the server ran is not answered
    And the server has been used for at least 85 in 100 of the time

  # Guards against room that a daemon takes for free at a server that still works for its former run.
  Scenario Outline: A daemon that is <how> finds the slots as they are
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    And each request takes 1.2 seconds
    When 4 callers ask, and the daemon beside the server is <how>
    And callers ask 20 times a second for 1.5 seconds, and their deadlines pass after 3000 ms
    Then the server has never had more than 4 requests at once

    Examples:
      | how           |
      | started again |

  # Guards against room taken for free after a restart, as callers beside the daemon told nobody.
  Scenario: A daemon that is started again finds the slots that callers beside it use
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    And each request takes 1.2 seconds
    When 4 callers beside it ask, and the daemon beside the server is started again
    And callers ask 20 times a second for 1.5 seconds, and their deadlines pass after 3000 ms
    Then the server has never had more than 4 requests at once

  # Guards against slots that a daemon takes for free since deadlines passed while it stood still.
  Scenario: A daemon that stood still finds the slots as they are
    Given a server with 4 slots that works on behind a closed connection, beside one of two daemons
    And each request takes 1.2 seconds
    When 4 callers ask with deadlines of 600 ms, and the daemon stands still for 700 ms
    And callers ask 20 times a second for 1 second, and their deadlines pass after 3000 ms
    Then the server has never had more than 4 requests at once
