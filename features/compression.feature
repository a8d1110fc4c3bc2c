Feature: What repeats on a link between data centres crosses once

  A head of 300 to 400 bytes goes before each call and each answer there; answers of 1.5 KB and
  bytes at 0.14 of a lookup's worth a KB make heads a quarter of what crossing costs.

  Scenario: Heads that repeat shrink, and bodies pass as they are
    Given a stream between data centres that has carried 20 heads and bodies of 4000 bytes
    Then the next head of 300 bytes or more takes at most 90 bytes
    And heads and bodies arrive as they were sent

  Scenario: A stream of a daemon of the version before is read
    # Guards against a receiver whose window is smaller than that of a sender in a rolling update.
    Given a stream of memory level 5 that has carried 40 heads and bodies of 4000 bytes
    Then heads and bodies arrive as they were sent

  Scenario: A compressor takes little memory
    # Guards against memory that grows with the links to other data centres: 49 KB each before.
    When 100 streams between data centres have carried 20 heads each
    Then each takes at most 45 KB to send

  Scenario: Each of many similar heads shrinks
    # Guards against a window or hash table in which some heads are not found: with a window of 4 KB
    # the single head above passes in four of ten runs.
    Given 300 streams between data centres that have carried 20 heads each
    Then the next head of each takes at most 90 bytes

  Scenario Outline: Bytes that are no stream are refused
    Given a stream between data centres that has carried 2 heads and bodies of 10 bytes
    When the receiver is given <bytes>
    Then that is a fault of the stream

    Examples:
      | bytes                          |
      | bytes out of nowhere           |
      | a length past the end          |
      | a payload larger than allowed  |

  Scenario: Two daemons of different data centres call each other
    Given a daemon in kgn-1 and a backend server in spt-1
    When 30 lookups and a body of 60000 bytes go from one to the other
    Then all are answered whole
    And an answered lookup takes at most 300 bytes on the link, both ways together
    And both daemons count by what moved them the bytes that crossed
    And the line of each call tells why it left its data centre
