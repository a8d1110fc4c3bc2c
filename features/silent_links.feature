Feature: Links between daemons that have gone silent cost callers little, and calm days nothing

  Background:
    Given daemons A and B, the roster server beside B
    And all links from A to B pass through a network that can silence the open ones

  # Guards against a booking that is sent into a link that has been silent, and ends with 504.
  Scenario Outline: A booking after a silence does not depend on the link that went silent
    Given the link from A to B has carried a booking
    When the open links go silent "<direction>", and nothing is sent for <idle> seconds
    And a caller of A makes 3 bookings with a deadline of 600 ms, one after the other
    Then all of them are served, and each ran once
    And A has told which peer was silent, for how long, and what was sent into it

    Examples:
      | direction | idle |
      | both      | 3.0  |
      | there     | 3.0  |

    @known_red
    Examples: what comes back
      | direction | idle |
      | back      | 3.0  |

  # Guards against nothing remembering that a link was silent when its requests have ended.
  Scenario Outline: Soon after the last answer one booking at most pays for a link that went silent
    Given the link from A to B has carried a booking
    When the open links go silent "<direction>", and nothing is sent for 0.5 seconds
    And a caller of A makes 4 bookings with a deadline of 300 ms, 2 seconds apart
    Then all of them but <lost> are served, and none ran twice

    Examples:
      | direction | lost |
      | both      | 1    |
      | there     | 1    |
      | back      | 1    |

  # Guards against a booking that never arrived and is told "may have run" though a new link works.
  Scenario: A booking that never arrived is sent again on a new link
    Given the link from A to B has carried a booking
    When the open links go silent "there", and nothing is sent for 0.2 seconds
    And a caller of A makes 1 bookings with a deadline of 1000 ms, one after the other
    Then all of them are served, and each ran once

  # Guards against questions for free slots that go into a silent link for good.
  Scenario: A daemon that is only asked questions gets a new link as well
    Given the link from A to B has carried a booking
    When the open links go silent "both", and nothing is sent for 3 seconds
    Then A has a link that was opened since within 1 second, if it asks B a question every 0.05 seconds

  # Guards against a daemon that stands still and is flooded with connections for questions.
  Scenario: A daemon that stands still gets one connection a second for questions
    Given the link from A to B has carried a booking
    When nothing is sent for 3 seconds, and B stands still for 3.5 seconds while A asks it questions
    Then at most 4 links were opened meanwhile

  # Guards against an accepting end that keeps the links that went silent for good.
  Scenario: The accepting end lets go of silent links
    Given the link from A to B has carried a booking
    When the open links go silent, and a booking is made after 2.6 seconds, 3 times
    Then within 5 seconds B has no more than 1 link of A

  # Guards against links of a daemon that has ended without a word, which stay open for good.
  Scenario: The accepting end lets go of the links of a daemon that has ended
    Given the link from A to B has carried a booking
    When the open links go silent, and B takes A for dead and has not heard it for a sweep
    Then within 3 seconds B has no more than 0 link of A

  # Guards against connections that never say which daemon they come from.
  Scenario: The accepting end lets go of connections that say nothing
    When a connection to B is opened that says nothing
    Then within 5 seconds B has no more than 0 link of nobody

  # Guards against a daemon that ends before a peer has read an answer, as the link was quiet before it.
  Scenario: A daemon that stops waits until what it sent on a quiet link has been read
    Given the link from A to B has carried a booking
    When nothing is sent for 2 seconds, and the network is held up for 0.5 seconds
    Then B waits from 0.4 to 0.9 seconds for its peers to have read what it sent

  # Guards against a stop that takes all of its time because a link went silent.
  Scenario: A daemon that stops does not wait for long on a silent link
    Given the link from A to B has carried a booking
    When the open links go silent "both", and nothing is sent for 0.1 seconds
    Then B waits from 0.9 to 1.3 seconds for its peers to have read what it sent

  # Guards against a daemon that stands still, is taken for a silent link, and loses its calls.
  Scenario: A daemon that stands still keeps its link
    Given the link from A to B has carried a booking
    When nothing is sent for 3 seconds, and B stands still for 0.9 seconds under a booking
    Then the booking is answered on the link from before
    And at most 2 links were opened meanwhile

  # Guards against a daemon that takes its own pause for the silence of a link that owes an answer.
  Scenario: A daemon that stands still while a sign of life is due does not give up its link
    Given the link from A to B has carried a booking
    When a booking is held up for 0.4 seconds, and then all daemons stand still for 1.6 seconds
    Then the booking is answered on the link from before

  # Guards against heartbeats on links that carry nothing.
  Scenario: A link that carries nothing costs no byte
    Given the link from A to B has carried a booking
    When nothing is sent for 4 seconds
    Then neither end of the link has sent a byte

  # Guards against a link that is full and taken for silent.
  Scenario: A link whose unsent bytes leave slowly is not silent
    When a link owes an answer for 5 seconds while what is unsent leaves slowly
    Then it is not closed
    When nothing of it leaves any more
    Then it is closed within 1.3 seconds
