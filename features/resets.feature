Feature: A reset is not the end of an answer

  Scenario: The last bytes and a reset are there at one wake-up of the daemons' event loop
    Given a server that sends part of an answer without a length and resets
    When a client on the daemons' event loop wakes up after both have arrived
    Then it sees a broken connection and no end of the answer
