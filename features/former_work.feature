Feature: A daemon that is started again leaves room for the requests of its former process

  Requests of callers beside a daemon that was killed may go on at the server, and nobody tells how
  many. The server counts as full for as long as they may take, or until health checks that take a
  slot show free ones.

  # Guards against a hold without a former process, and against none where there may have been one.
  Scenario Outline: A server <server> is held: <held>
    Given a process that was started at 5000 ms, <address>, and a row <row>
    When the server "i-1", started at <started> ms, is announced
    Then its slots are held: <held>

    Examples:
      | server                             | address                     | row                 | started | held |
      | of the former process              | at a fixed address          | with "i-1" of 2000  | 2000    | yes  |
      | of the row, by a clock set back    | at a fixed address          | with "i-1" of 9000  | 9000    | yes  |
      | started since the former process   | at a fixed address          | with "i-1" of 1000  | 2000    | no   |
      | that no former process knew        | at a fixed address          | that is missing     | 2000    | no   |
      | older than the process, store away | at a fixed address          | that is not known   | 2000    | yes  |
      | started later, store away          | at a fixed address          | that is not known   | 6000    | no   |
      | without a start time, store away   | at a fixed address          | that is not known   | 0       | yes  |
      | of a fleet just created            | in a fleet just created     | that is missing     | 2000    | no   |
      | beside an address just chosen      | at an address just chosen   | that is not known   | 0       | no   |

  # Guards against requests beyond the slots while former ones run, and against an endless hold.
  Scenario Outline: No request starts beside former ones at a server whose checks <checks>
    Given a simulated server with 4 slots and <former> former requests that end after 700 ms
    And its health checks <checks>
    When a request arrives every 10 ms for 2 seconds, after a start with a hold of 900 ms
    Then at most 4 requests have been at the server at once
    And the first request has started after <first> ms at the earliest and <latest> ms at the latest
    And 4 requests have been at the server at once after at most <full> ms

    Examples:
      | checks             | former | first | latest | full |
      | take a slot        | 0      | 1     | 40     | 200  |
      | take a slot        | 2      | 1     | 40     | 900  |
      | take a slot        | 4      | 700   | 800    | 900  |
      | tell nothing       | 0      | 900   | 920    | 960  |
      | tell nothing       | 4      | 900   | 920    | 960  |

  # Guards against two requests that start because of one free slot.
  Scenario: Each check lets one request start
    Given a server with 4 slots that are held for 900 ms, and checks that take a slot
    When 3 requests wait and a check is answered at once
    Then 1 request starts
    When a check is answered at once
    Then 1 request starts
    When a check is answered after 20 ms
    Then no request starts
    When a check is refused
    Then no request starts
    And the next check is due 50 ms later

  # Guards against a slot that is counted as free for a request that has not reached the server yet.
  Scenario: A check is not sent right after a request has started
    Given a server with 4 slots that are held for 900 ms, and checks that take a slot
    When 3 requests wait and a check is answered at once
    Then 1 request starts
    When a request that runs ends
    Then 1 request starts
    And the next check is due 5 ms later

  # Guards against a slot that needs another check although it is known that no former request has it.
  Scenario: A request takes the place of one that has ended
    Given a server with 4 slots that are held for 900 ms, and checks that take a slot
    When 3 requests wait and a check is answered at once
    Then 1 request starts
    When a request that runs ends
    Then 1 request starts

  # Guards against a hold that outlasts its time.
  Scenario: The hold ends
    Given a server with 4 slots that are held for 900 ms, and checks that tell nothing
    Then 0 slots are free after 899 ms
    And 4 slots are free after 900 ms

  # Guards against a hold that is shorter than the slowest route, or longer than its limit.
  Scenario Outline: The hold is as long as a request of the slowest route may take
    Given routes to a service with objectives of <objectives> ms
    Then its slots are held for <hold> ms after a start

    Examples:
      | objectives    | hold  |
      | 173           | 156   |
      | 173, 579      | 521   |
      | 173, 20000    | 10000 |

  # Guards against slots taken for free while checks of real connections find others free.
  Scenario: Checks find the slots that former requests leave
    Given a server with 4 slots that goes on with what is cut off, whose checks take a slot
    When 2 callers beside it ask for 1.2 seconds of work, and its daemon is killed and started again
    And 4 callers ask for 1.2 seconds of work
    Then 2 of their requests have started within 0.6 seconds, and 4 requests run at the server
    And the server has never had more than 4 requests at once
