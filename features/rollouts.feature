Feature: A service moves to a new version of its servers, guarded

  An operator orders that a service's requests go to servers of another version, which are started
  alongside. A version that is bad gets a small part of the requests only, and is taken back.

  # What a daemon may send, by itself

  Scenario Outline: A daemon that has heard of an order sends the new version its part, and no more
    Given a daemon of a fleet of <daemons> that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "<phase>"
    When <requests> requests reach servers of the service
    Then at most <most> of them went to the new version
    And at least <least> of them went to the new version

    Examples:
      | daemons | phase  | requests | least | most |
      | 64      | HELD   | 2000     | 0     | 0    |
      | 64      | TRIAL  | 2000     | 60    | 74   |
      | 64      | MOVING | 2000     | 160   | 182  |
      | 64      | BACK   | 2000     | 0     | 0    |
      | 64      | DONE   | 2000     | 2000  | 2000 |
      | 1       | TRIAL  | 10       | 5     | 10   |

  Scenario: What was told later holds, and what was decided is not undone
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "BACK"
    And it hears that the new version is "MOVING"
    When 500 requests reach servers of the service
    Then at most 0 of them went to the new version

  Scenario: A newer order begins with nothing
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "BACK"
    And it hears of a newer order for the same version
    Then the new version gets nothing until it is tried

  Scenario: A version that was given up for another one is not used
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "TRIAL"
    And it hears of a newer order for a third version
    Then requests go to the version of before alone

  Scenario: A version that appears without an order waits a second for one
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it has known the version of before for a minute
    When a server of another version appears
    Then requests go to the version of before alone
    And a second later they go to both

  Scenario: A daemon that sees for itself that a version fails stops by itself
    Given a daemon of a fleet of 1 that may expose 0.5 of the requests and 50 more
    And it hears that the new version is "TRIAL"
    When 200 requests reach servers of the service, and those at the new version fail
    Then at most 8 of them went to the new version

  Scenario: A request that failed once goes to the servers of before
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "DONE"
    Then a second attempt may go to the new version too
    Given it hears of a newer order for a third version
    And it hears that the third version is "MOVING"
    Then a second attempt goes to the version of before

  Scenario: A version that comes after a completed rollout is used without an order
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "DONE"
    When a server of a third version appears later
    Then requests go to the new and the third version, and no more to the one before

  # Requests that are not idempotent, before the servers of before stop

  Scenario Outline: Requests that are not idempotent are kept from servers that are about to stop
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the servers of before are "<closing>" while requests move
    When 2000 requests that are <kind> reach servers of the service
    Then at most <most> of them went to the new version
    And at least <least> of them went to the new version
    And <waiting> of the others waited

    Examples:
      | closing    | kind           | least | most | waiting |
      | OPEN       | not idempotent | 160   | 182  | none    |
      | IDEMPOTENT | not idempotent | 160   | 182  | all     |
      | IDEMPOTENT | idempotent     | 160   | 182  | none    |
      | CLOSED     | not idempotent | 2000  | 2000 | none    |
      | CLOSED     | idempotent     | 2000  | 2000 | none    |

  Scenario: Those that wait ask again and again, and take nothing of the bound
    Given a daemon of a fleet of 64 that may expose 0.1 of the requests and 50 more
    And it hears that the servers of before are "IDEMPOTENT" while requests move
    When 2000 requests that are not idempotent reach servers of the service
    And 20 requests that have waited ask 100 times each
    Then at most 182 of them went to the new version
    And none of those that have waited did

  # Guards against requests that pass the limit together, since each counts only once it is sent.
  Scenario: Requests whose servers are found at the same time count against the bound at once
    Given a daemon of a fleet of 1 that may expose 0.1 of the requests and 50 more
    And it hears that the new version is "MOVING"
    When servers are found for 200 requests before any of them is sent
    Then at most 36 of them are at the new version
    And once they have ended without being sent, 200 more get as many

  Scenario: None waits for a version that a daemon itself has seen to fail
    Given a daemon of a fleet of 1 that may expose 0.5 of the requests and 50 more
    And it hears that the servers of before are "IDEMPOTENT" while requests move
    When 200 requests reach servers of the service, and those at the new version fail
    Then at most 8 of them went to the new version
    And a request that is not idempotent goes to the version of before

  Scenario: A server that is closed runs no further request that is not idempotent, until it is open
    Given a gate beside a server of the version of before, at work on a booking
    When it hears that the servers of before are "CLOSED" while requests move
    Then it refuses a further booking, which surely has not run
    And it still takes a lookup
    And its tally tells that it is closed and holds 1 booking
    When that booking is answered
    Then its tally tells that it is closed and holds 0 bookings
    When it hears that requests no longer move
    Then it takes a further booking
    And its tally tells that it is open

  # Guards against a booking that still runs when its server is stopped at the end of the order.
  Scenario: A server from which bookings are kept refuses those that could wait no longer
    Given a gate beside a server of the version of before, at work on a booking
    When it hears that the servers of before are "IDEMPOTENT" while requests move
    Then it refuses a further booking, which surely has not run
    And it still takes a lookup

  Scenario: An order is completed once all servers of before have told that they may stop
    Given a leader of an order that is due, by which 2 servers of before are closed
    Then it completes the order only after both have told that they hold no booking
    And what they told of an earlier closing does not count

  Scenario: An order is completed before its deadline though a server of before tells nothing
    Given a leader of an order that is due, by which 2 servers of before are closed
    Then it completes the order 0.3 s before the deadline

  Scenario: Daemons of the version before read what is told of closing, and are read
    Given what a daemon tells of a closed server and of a rollout
    Then a daemon that knows of no closing reads the rest of it
    And what such a daemon tells is read as open

  # What is bad

  Scenario Outline: An answer is bad by its server's doing
    Given an attempt that ended with <how> after <held> of its typical time
    Then that answer is "<verdict>"

    Examples:
      | how             | held | verdict |
      | status 200      | 1.0  | good    |
      | status 200      | 2.9  | good    |
      | status 200      | 3.1  | bad     |
      | status 404      | 1.0  | good    |
      | status 500      | 0.1  | bad     |
      | a broken answer | 0.1  | bad     |
      | its deadline    | 0.5  | unknown |
      | its deadline    | 3.1  | bad     |
      | a refusal       | 0.1  | unknown |
      | its caller gone | 9.0  | unknown |

  Scenario: A cold server takes twice as long, and longer than that is slow
    Given an attempt at a cold server that took 5 times its typical time
    Then that answer is "good"
    Given an attempt at a cold server that took 7 times its typical time
    Then that answer is "bad"

  Scenario: Lost reports are made up for, and a server that starts again counts anew
    Given reports of a new server: 10 answers, 20 answers, then 5 after it has started again
    Then 25 answers of the new version were seen

  # Whole rollouts in simulated time

  Scenario Outline: Rollouts are decided rightly, whatever else fails
    When 12 rollouts of a version that is bad "<badness>" are played from seed <seed>
    Then at least <right> of them are decided rightly
    And no bad version got more than its bound

    Examples:
      | badness    | seed | right |
      | none       | 100  | 11    |
      | at once    | 101  | 12    |
      | slow       | 102  | 12    |
      | late       | 103  | 12    |
      | under load | 104  | 12    |
      | one route  | 105  | 12    |

  Scenario Outline: Requests that are not idempotent and take long are not cut off
    When 12 rollouts of a good version are played beside "<trouble>" with bookings from seed <seed>
    Then at least 11 of them are decided rightly
    And no booking was cut off where the order was completed
    And all that were completed were so before the deadline

    Examples:
      | trouble  | seed |
      | restarts | 112  |

    # Guards against bookings that ran out of time to wait, went to an old server and were cut off.
    Examples: bookings that are kept from the old servers for longer than they can wait
      | trouble     | seed |
      | none        | 110  |
      | leader ends | 111  |

  # Guards against an order that is completed at its deadline before the old servers are drained.
  Scenario Outline: Requests that are not idempotent are not cut off where the platform came back late
    When 12 rollouts of a good version are played beside "platform away" with bookings from seed <seed>
    Then at least 11 of them are decided rightly
    And no booking was cut off where the order was completed

    Examples:
      | seed |
      | 711  |
      | 718  |

  Scenario Outline: A bad version gets no more than its bound, though bookings are kept for it
    When 6 rollouts of a version that is bad "<badness>" are played with bookings from seed <seed>
    Then at least 6 of them are decided rightly
    And no bad version got more than its bound

    Examples:
      | badness   | seed |
      | at once   | 113  |
      | slow      | 114  |
      | late      | 115  |

  # Real daemons, against the stand-in store

  Scenario: A good version takes over before its order is due, and nothing is cut off
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v2" within 5 seconds, and good servers of it start alongside
    Then the operator reads "completed" within 5 seconds
    And every call was answered
    And from then on only version "v2" runs calls

  Scenario: Bookings that take a second are not cut off when the servers of before stop
    Given three daemons with a server each, and many callers whose bookings take up to a second
    When the operator orders version "v2" within 6 seconds, and servers as good start alongside
    Then the operator reads "completed" within 6 seconds
    And every call was answered
    And from then on only version "v2" runs calls

  Scenario: A bad version is taken back, and most callers never met it
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v2" within 6 seconds, and bad servers of it start alongside
    Then the operator reads "rolled_back" within 6 seconds
    And version "v2" ran at most a tenth of the calls and 50 more
    And a second later it runs none

  Scenario: The leader ends after its first step, and another goes on
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v2" within 6 seconds, and good servers of it start alongside
    And the daemon that leads ends as soon as the operator reads "running"
    Then the operator reads "completed" within 8 seconds

  Scenario: The store comes back from a copy of before the order
    Given three daemons with a server each, and callers that never rest
    And a copy of the store is kept
    When the operator orders version "v2" within 6 seconds, and good servers of it start alongside
    And the store comes back from that copy as soon as the operator reads "running"
    And the operator writes the order again a second later
    Then the operator reads "completed" within 8 seconds

  Scenario: The status is written again where the store has lost it
    Given three daemons with a server each, and callers that never rest
    And a copy of the store is kept
    When the operator orders version "v2" within 4 seconds, and bad servers of it start alongside
    Then the operator reads "rolled_back" within 6 seconds
    When the store comes back from that copy
    And the operator writes the order again a second later
    Then the operator reads "rolled_back" within 3 seconds

  Scenario: All daemons start again in the middle, and the order is decided
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v2" within 4 seconds, and bad servers of it start alongside
    And all daemons restart as soon as the operator reads "running"
    Then the operator reads "rolled_back" within 10 seconds

  Scenario: An order for the version that is in force is completed at once
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v1" within 6 seconds
    Then the operator reads "completed" within 3 seconds

  Scenario: All daemons start again after a rollout, just before the store goes away
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v1" within 6 seconds
    Then the operator reads "completed" within 3 seconds
    When all daemons restart, and the store goes away a moment later
    Then calls are answered again within 4 seconds

  Scenario: A version of which no server is started is taken back when the order is due
    Given three daemons with a server each, and callers that never rest
    When the operator orders version "v9" within 2 seconds
    Then the operator reads "rolled_back" within 4 seconds
    And every call was answered

  Scenario: An order that can't be read changes nothing
    Given three daemons with a server each, and callers that never rest
    When the operator writes an order that can't be read
    Then every call was answered
    And the operator reads nothing
