Feature: Connections of callers that have gone silent are let go

  # Guards against an answer that is kept for good for a caller whose connection went silent.
  Scenario: A caller that takes nothing of an answer any more is let go
    Given a server that lets go of callers after 1 second in which they take nothing
    When a caller that reads nothing asks for 30000000 bytes
    Then its connection is closed within 2 seconds, and the handler has ended
    And the server has told which caller was silent, for how long, and what was not taken

  # Guards against a slow caller that is taken for a silent one.
  Scenario: A caller that reads slowly gets the whole answer
    Given a server that lets go of callers after 1 second in which they take nothing
    When a caller that reads a part every 0.3 seconds asks for 30000000 bytes
    Then it gets the whole answer after more than 2 seconds

  # Guards against a message of a server that is waited for in vain, and for good, when a part has come.
  Scenario: A message that never ends is given up
    Given a server that lets go of callers after 1 second in which they take nothing
    When a caller sends half of a message and nothing more
    Then its connection is closed within 4 seconds, and the handler has ended

  # Guards against a server that takes a pause of its own process for the silence of its callers.
  Scenario: A server that stood still does not let go of its callers
    Given a server that lets go of callers after 1 second in which they take nothing
    When all stand still for 1.5 seconds while a caller reads 30000000 bytes
    Then it gets the whole answer after more than 1 seconds

  # Guards against a message in many small parts that holds up all else while it is read.
  Scenario: A message in many small parts lets others run
    Given a server that lets go of callers after 1 second in which they take nothing
    When a caller sends a message in 5000 parts at once
    Then it is answered, and others had their turn at least 50 times meanwhile
