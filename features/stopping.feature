Feature: A daemon that is told to stop ends no answer that has begun

  An answer is passed on at the pace of the narrowest link on its way, where it competes with others.
  Whoever stops a daemon ends it some seconds later at the latest.

  # Guards against an answer cut off as its caller's daemon stops, while smaller ones keep its way busy.
  Scenario: A large answer is whole though its caller's daemon stops and its server's link is busy
    Given a server beside a daemon with a link of 2 Mbit/s, and two more daemons
    And callers of one of them keep asking for answers of 40 KB, eight at a time
    When a caller of the other asks for 300 KB, and that daemon is told to stop within 3 seconds
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against an answer cut off as its server's daemon stops, while its caller's link is busy.
  Scenario: A large answer is whole though its server's daemon stops and its caller's link is busy
    Given two servers beside daemons with links of 20 Mbit/s, and a daemon with one of 2
    And callers of that one keep asking the first server for answers of 40 KB, eight at a time
    When a caller of that one asks the second for 300 KB, whose daemon is told to stop within 3 seconds
    Then that caller gets the whole answer once the others rest
    And the daemon that stopped has cut nothing off

  # Guards against the end of an answer lost with a process that ends before it has left it.
  Scenario: A daemon that stops stays until a caller that reads late has taken the whole answer
    Given a daemon with a server beside it
    When the daemon is told to stop, and a caller asks for 60 KB and reads nothing for 1 second
    Then that caller gets the whole answer
    And nothing was left unsent when the daemon ended
