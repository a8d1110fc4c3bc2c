Feature: An error ends the request that raised it, and nothing that others share

  # Guards against an error at the gate that closed a link and ended every call on it.
  Scenario: A call whose admission raises an error is refused, and other calls on its link are answered
    Given a daemon whose gate raises an error on calls of route "faulty", with a link to it
    And a call of route "sound" runs there
    When a call of route "faulty" is sent on the same link
    Then the call of route "faulty" is refused as not run
    And the call of route "sound" is answered on the same link
    And the gate runs no call

  # Guards against an answer "not run" on a copy of a request that runs.
  Scenario: A duplicate whose admission raises an error is not said to be not run
    Given a daemon whose gate raises an error on calls of route "faulty", with a link to it
    And a call of route "sound" runs there
    When the call is sent once more, and reading the catalogue raises an error
    Then the copy may have run
    And the call of route "sound" is answered on the same link
    And the gate runs no call

  # Guards against an error at the gate outside a call that closed a link and ended every call on it.
  Scenario: A question whose answer raises an error ends no call on its link
    Given a daemon whose gate raises an error on calls of route "faulty", with a link to it
    And a call of route "sound" runs there
    When the gate is asked for an outlook, and reading the catalogue raises an error
    Then the call of route "sound" is answered on the same link
    And the gate runs no call

  # Guards against a daemon that takes its own pause for the silence of others, and cuts off answers.
  Scenario: A daemon that stood still for a while does not take its links for silent
    Given daemons A and B, the roster server beside B
    When a caller of A makes a booking of 2.5 seconds, and both daemons stand still for 1.6 seconds
    Then the booking is answered

  # Guards against periodic checks that stop for good at their first error.
  Scenario: A periodic check that raises an error is called again, and so are those after it
    Given two periodic checks, the first of which raises an error each time
    When a few intervals have passed
    Then both were called more than once

  # Guards against a datagram that can't be encoded and ends the failure detector.
  Scenario: A message that can't be sent keeps the daemon from sending no other one
    Given two daemons that know each other
    When one of them is made to send a number that does not fit into its message
    Then both still probe each other

  # Guards against a settings file that is not text and ends the watch on it.
  Scenario: A settings file that is not valid text is kept out, and its mend is read
    Given a daemon that watches its settings file
    When the file is replaced by bytes that are not text
    And the file is replaced by valid settings with another budget
    Then the budget is that of the file

  # Guards against a delay that overflows after a thousand failures and ends what retries.
  Scenario: A daemon writes its row once the store is back, however long it was away
    Given a store that fails the next 3000 writes, and a clock that skips what a daemon waits for
    When a daemon writes its row
    Then the store has that row

  # Guards against a delay that overflows and ends the call of whoever asks a server in vain.
  Scenario Outline: A server that fails for long is left alone for a while each time, and no error is raised
    When <count> attempts at a server fail in a row
    Then it is left alone for at most <seconds> seconds

    Examples:
      | count | seconds |
      | 1     | 30      |
      | 10000 | 30      |
