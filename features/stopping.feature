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

  # Guards against an answer to a caller that waits behind those of the server beside its daemon.
  Scenario: A daemon that stops passes a large answer on while its own server's answers keep its link busy
    Given a server beside a daemon with a link of 2 Mbit/s, another behind 20, and one more daemon
    And callers of the last one keep asking the first server for answers of 40 KB, eight at a time
    When a caller of the first daemon asks the other server for 300 KB, and that daemon is told to stop
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against the end of an answer lost with a process that ends before it has left it.
  Scenario: A daemon that stops stays until a caller that reads late has taken the whole answer
    Given a daemon with a server beside it
    When the daemon is told to stop, and a caller asks for 60 KB and reads nothing for 1 second
    Then that caller gets the whole answer
    And nothing was left unsent when the daemon ended

  # Guards against work that is taken on long after the signal and given up as the daemon ends.
  Scenario: A daemon that is about to end refuses what could outlast it, and takes what can't
    Given a daemon with a server beside it, and another server that runs a call for 3 seconds
    When the daemon is told to stop, and a second later callers ask it
    Then a call with a deadline of 20 seconds is refused as "not_run" at once
    And a call with a deadline of 0.5 seconds is answered
    And both connections are told to close

  Scenario Outline: A call is taken on by a daemon that stops where it surely ends before
    Given a stop that leaves after 1.7 s and ends by a grace of 6 s
    When <after> s after the signal a call comes with <left> s left that is expected to take <expected> s
    Then that call is "<taken>"

    Examples:
      | after | left | expected | taken   |
      | 0.1   | 10   | 2.0      | taken   |
      | 1.8   | 3.8  | 2.0      | taken   |
      | 1.8   | 10   | 0.5      | taken   |
      | 1.8   | 10   | 2.0      | refused |
      | 3.5   | 2.0  | 0.5      | taken   |
      | 3.5   | 3.0  | 0.1      | refused |
      | 5.0   | 0.5  | 0.1      | taken   |
      | 5.0   | 1.0  | 0.1      | refused |

  Scenario Outline: A daemon that stops takes on no more answers than its link can carry
    Given a stop that leaves after 1.7 s and ends by a grace of 6 s
    When <after> s after the signal a call comes whose answer is expected to leave in <transfer> s
    Then that call is "<taken>"

    Examples:
      | after | transfer | taken   |
      | 0.1   | 0.0      | taken   |
      | 0.1   | 1.8      | taken   |
      | 0.1   | 2.0      | refused |
      | 1.6   | 1.3      | taken   |
      | 1.6   | 1.5      | refused |

  Scenario Outline: A stop ends before whoever sent the signal ends the process
    Given a stop that leaves after <leave> s, drains for <drain> s, and has a grace of <grace> s
    Then it leaves after <leaves> s and ends after <ends> s

    Examples:
      | leave | drain | grace | leaves | ends |
      | 0     | 30    | 0     | 0      | 30   |
      | 1.7   | 30    | 6     | 1.7    | 5.65 |
      | 1.7   | 3.5   | 6     | 1.7    | 5.2  |
      | 1.7   | 30    | 3     | 1.0    | 2.65 |
      | 1.7   | 30    | 0.3   | 0.1    | 0.15 |

  # Guards against a link that had more to send before a stop than it can send during one.
  Scenario: The daemon beside a server accepts no more large answers than it can send while it stops
    Given a server beside a daemon with a link of 2 Mbit/s that stops within 3 seconds, and one more daemon
    When 30 callers of the other ask for 100 KB at once, and a moment later the first is told to stop
    Then each of them gets a whole answer, or is told that it did not run and when to come back
    And some of them get a whole answer, and some are told "no_slot"
    And the daemon that stopped has cut nothing off

  # Guards against a daemon that accepts calls whose answers its link to callers can't carry.
  Scenario: The daemon of the callers accepts no more large answers than it can send while it stops
    Given a server beside a daemon with a link of 20 Mbit/s, and one more daemon with one of 2 that stops within 3 seconds
    When 30 callers of the other ask for 100 KB at once, and a moment later theirs is told to stop
    Then each of them gets a whole answer, or is told that it did not run and when to come back
    And some of them get a whole answer, and some are told "no_slot"
    And the daemon that stopped has cut nothing off
