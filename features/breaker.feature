Feature: A server that breaks off all it is sent is left alone until it is back

  The pattern: servers that go down and up by turns for some seconds, in services of 30 to 45, where
  each of 76 daemons would learn of it by calls of its own that fail. In the two seconds after four
  servers went down, one call in ten was told 502, and could not be sent again.

  Scenario: After two early losses nothing is sent, and then one request at a time
    Given a breaker that has seen 2 early losses
    Then nothing is sent for 100 ms
    And after that one idempotent request is sent, and no other beside it
    And a request that may not be repeated is not the one to try

  Scenario: Each further loss doubles the pause, up to 800 ms
    Given a breaker that has seen 2 early losses
    When the try after each pause is lost 5 times
    Then nothing is sent for 800 ms

  Scenario: One answer is enough
    Given a breaker that has seen 2 early losses
    When the try after the pause is answered
    Then all is sent at once, and the pause after 2 more losses is 100 ms again

  Scenario: Losses between answers don't add up
    Given a breaker that has seen 1 early losses
    When a request is answered
    And 1 more early loss comes
    Then all is sent at once

  Scenario: An answer that is lost after the work is no sign that the server is down
    Then a loss after 5 ms of 220 is early, and one after 100 ms is not

  Scenario: A gate refuses for a server that is gone, and says truly that nothing ran
    Given a gate beside a server that closes each connection at once
    When 10 lookups come one after the other
    Then at most 2 of them may have run
    And the rest did not run and are told when to come back
    When the server answers again
    Then a lookup is answered within a second

  Scenario: What a server breaks off or sheds says nothing of how long its work takes
    Given a gate beside a server that closes each connection at once
    When 10 lookups come one after the other
    Then nothing is known of how long a lookup takes

  Scenario: A server that announces itself is tried at once, by any request
    Given a gate beside a server that closes each connection at once
    When 10 lookups come one after the other
    And the server answers again
    And the server announces itself
    Then an entry that may not be repeated is answered at once

  Scenario: A server that drops idle connections is not left alone
    Given a gate beside a server that closes each connection after its first answer
    When 10 lookups come one after the other
    Then no lookup is refused
