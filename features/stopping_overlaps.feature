Feature: A daemon that is told to stop gives up nothing, whatever else stops or stalls meanwhile

  Daemons are stopped one after another in overlapping rolls, so that many answers are urgent at once.

  # Guards against a large answer that starves behind small ones which are as urgent as it is.
  Scenario: A large answer is whole though other daemons stop after its own, with smaller ones
    Given a server beside a daemon with a link of 2 Mbit/s, and 5 more daemons
    And callers of the others keep asking for answers of 40 KB, eight at a time
    When a caller of the first asks for 300 KB, and they are told to stop, the others 0.8 seconds apart
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against a large answer that starves behind those of the server beside its caller's daemon.
  Scenario: A large answer is whole though the server beside its caller's daemon is busy as that stops
    Given a server beside a daemon with a wide link, and a daemon with one of 6.5 Mbit/s that ends by a grace of 6 seconds
    And callers of a third keep asking the server beside that one for 280 KB, 8 at a time
    When a caller of that one asks the first server for 1700 KB, and its daemon stops
    Then that caller gets the whole answer

  # Guards against a large answer that starves on the link of its caller's daemon as that stops.
  Scenario: A large answer is whole though callers of a daemon that stops still ask for smaller ones
    Given a server beside a daemon with a link of 20 Mbit/s, and a daemon with one of 2 whose server is at work
    And callers of that one keep asking for answers of 40 KB with half a second left, eight at a time
    When a caller of that one asks for 300 KB, and that daemon is told to stop within 4 seconds
    Then that caller gets the whole answer

  # Guards against an answer taken on that takes longer over its server's link than the daemon has left.
  Scenario: A daemon that stops takes on no answer that can't cross its server's link in time
    Given a server beside a daemon with a link of 2 Mbit/s, and a daemon that knows its answers as quick and of 500 KB
    When that daemon is told to stop, and 1.1 seconds later a caller asks it for 500 KB
    Then that caller gets the whole answer, or is told "not_run"

  # Guards against a call closed without an answer though it never ran and that could be said.
  Scenario: A call that still waits for a slot when its caller's daemon ends is refused, not dropped
    Given a daemon that stops within 2 seconds, and a server with one slot that runs a call for 6 seconds
    When a caller of that daemon waits for the slot, and the daemon is told to stop
    Then that caller is told "not_run"

  # Guards against a stop held up to its limit by an answer that nobody takes any more.
  Scenario: A daemon that stops doesn't wait for an answer whose caller has left
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of the other leaves a POST that runs, whose answer has 1 MB, and that daemon is told to stop
    Then the daemon ends within 2 seconds
    And the daemon that stopped has cut nothing off

  # Guards against the end of an answer lost as a link is closed before the other side has all of it.
  Scenario: An answer is whole though its server's daemon ends while the link's other side is slow
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of the other asks for 200 KB over a link that stands still for 0.45 seconds, and that daemon is told to stop
    Then that caller gets the whole answer

  # Guards against the rest of an answer lost in the kernel as a link is closed on a slow path.
  Scenario: An answer is whole though its server's daemon ends while most of it is still on a slow path
    Given a server beside a daemon with a link of 20 Mbit/s, and another daemon on a path of 500 KB/s to it
    When a caller of the other asks for 800 KB, and the daemon of its server is told to stop
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against work that goes on at a server for a daemon that has ended.
  Scenario: What a daemon cuts off as it ends is cancelled at the server
    Given a daemon that stops within 1 seconds, and a server with one slot that runs a call for 0 seconds
    When a caller of that daemon asks for a call of 4 seconds, and the daemon is told to stop
    Then the server has nothing to do half a second after the daemon's end

  # Guards against a stop held up to its limit by a caller that sends half a head.
  Scenario: A daemon that stops doesn't wait for a request that never arrives
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of that daemon sends half a head, and that daemon is told to stop
    Then the daemon ends within 2 seconds

  # Guards against an upload cut off as the daemon of its caller stops.
  Scenario: An upload through a daemon that is told to stop reaches the server whole
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of the other sends 1.5 MB over 1.5 seconds, and the daemon of its caller is told to stop meanwhile
    Then that upload is answered and was read whole

  # Guards against an upload cut off as the daemon beside its server stops.
  Scenario: An upload to a server whose daemon is told to stop is read whole
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of the other sends 1.5 MB over 1.5 seconds, and the daemon of its server is told to stop meanwhile
    Then that upload is answered and was read whole

  # Guards against an answer lost between two daemons that stop at once.
  Scenario: A large answer is whole though the daemons of its caller and of its server stop at once
    Given a server beside a daemon with a link of 2 Mbit/s, and 1 more daemons
    When a caller of the first asks for 300 KB, and both daemons are told to stop
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against an answer lost on the link of a daemon to itself.
  Scenario: A large answer of the server beside a daemon that stops is whole
    Given a server beside a daemon with a link of 2 Mbit/s, and 1 more daemons
    When a caller beside that server asks for 300 KB, and that daemon is told to stop
    Then that caller gets the whole answer
    And the daemon that stopped has cut nothing off

  # Guards against an answer cut off as its server is no longer announced.
  Scenario: A large answer is whole though its server says meanwhile that it has gone
    Given a server beside a daemon with a link of 2 Mbit/s, and 1 more daemons
    When a caller of the first asks for 300 KB, and that server says that it is gone
    Then that caller gets the whole answer

  # Guards against a kept connection closed under a request that has been passed on.
  Scenario: A daemon that stops closes no kept connection under a request that it has passed on
    Given a daemon that stops within 4 seconds, and a server with one slot that runs a call for 0 seconds
    And callers of that daemon who keep 12 connections and ask without a pause
    When that daemon is told to stop
    Then no server has run a request whose connection closed without an answer
    And the daemon that stopped has cut nothing off

  # Guards against an answer lost as the connection of a caller that still sends its body is closed.
  Scenario: An answer that comes before its request has been read is passed on whole
    Given a server that answers before it has read a body, beside a daemon, and another daemon
    When a caller of the other uploads to it and reads the answer as slowly as it sends
    Then that caller has read the whole answer

  # Guards against a refusal lost as the connection of a caller that still sends its body is closed.
  Scenario: A refusal that comes before its request has been read reaches its caller
    Given a server beside a daemon that stops within 4 seconds, and another daemon
    When a caller of the other uploads 3 MB to a host that nobody serves and reads the answer as slowly as it sends
    Then that caller has read the status 404
