Feature: Callers get whole answers, and verdicts that are true

  Background:
    Given daemons A and B, the roster server beside B

  Scenario: A call through two daemons is answered whole
    When a caller of A asks for a roster of 300000 bytes
    Then the answer is whole and ran once

  Scenario: A large answer passes through in bounded memory
    When a caller of A asks for a roster of 40000000 bytes and reads it late
    Then the answer is whole and little of it was held on the way

  Scenario: An answer that has begun is carried to its end past the deadline
    When a caller of A asks with a deadline of 300 ms for a roster of 40000000 bytes and reads it late
    Then the answer is whole and little of it was held on the way

  Scenario: A large upload arrives whole
    When a caller of A sends a booking of 3000000 bytes
    Then the answer is whole and ran once

  Scenario: No route
    When a caller of A asks for a host that nobody serves
    Then the verdict is "not_run" for "no_route" with status 404

  Scenario: A service without backend servers
    Given the roster server has drained
    When a caller of A asks for a roster of 10 bytes
    Then the verdict is "not_run" and there is a time to come back

  Scenario: The deadline passes while the request runs
    When a caller of A asks with a deadline of 50 ms for work of 5000 ms
    Then the verdict is "may_have_run" for "deadline" with status 504
    And the backend server saw the request cancelled

  Scenario: The backend server dies while a booking runs
    Given the backend server will die while it runs the next request
    When a caller of A sends a booking of 10 bytes
    Then the verdict is "may_have_run" for "backend_broke" with status 502

  Scenario: The link is lost before the request arrives
    Given the link from A to B loses the next call
    When a caller of A sends a booking of 10 bytes
    Then the answer is whole and ran once
    And A asked B what became of it and was told that it did not run

  Scenario: The link is lost after the request was admitted
    Given the link from A to B breaks while the next call runs
    When a caller of A sends a booking of 10 bytes
    Then the verdict is "may_have_run" for "link_lost" with status 502
    And the booking ran at most once

  Scenario: The answer breaks off in the middle
    Given the link from A to B breaks in the middle of the next answer
    When a caller of A asks for a roster of 4000000 bytes
    Then the caller sees a broken connection and not a short answer

  Scenario: An answer in chunks breaks off in the middle
    Given the link from A to B breaks in the middle of the next answer
    When a caller of A asks for a roster of 4000000 bytes in chunks
    Then the caller sees a broken connection and not a short answer

  Scenario: An answer in chunks is whole
    When a caller of A asks for a roster of 300000 bytes in chunks
    Then the answer is whole and ran once

  Scenario: The caller leaves
    When a caller of A leaves while its request runs
    Then the backend server saw the request cancelled

  Scenario: A call and its cancellation arrive together
    When another daemon sends B a call and its cancellation in one go
    Then B ends the attempt and its slot is free again

  Scenario: The daemon beside the backend server is gone
    Given B has crashed
    When a caller of A sends a booking of 10 bytes
    Then the verdict is "not_run" and there is a time to come back

  Scenario: The backend server drains
    Given a request runs at the roster server
    When the roster server announces that it leaves
    Then what runs is answered whole
    And a new request is told "not_run"

  Scenario: A link falls silent while the server works, and no other server is there
    Given daemons A and B, the roster server beside B
    When a caller of A asks for work of 600 ms and the link to B is doubted after 200 ms
    Then the answer is whole and ran once
