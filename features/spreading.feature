Feature: A version reaches every daemon by pushes alone

  Scenario: Everybody gets it, each by about one push
    Given 60 nodes in 9 data centres of 3 regions that see each other
    When one of them commits a version
    Then all have it in force and at most 70 pushes were sent

  Scenario: Receivers that are silent are worked around
    Given 60 nodes in 9 data centres of 3 regions that see each other
    And 6 of them are silent
    When one of them commits a version and unanswered pushes are followed up
    Then all that are not silent have it in force

  Scenario: A receiver that knows it already passes it on all the same
    Given 60 nodes in 9 data centres of 3 regions that see each other
    And the relays and first receivers have learned it before
    When one of them commits a version
    Then all have it in force and at most 140 pushes were sent

  Scenario: Whoever hears of a higher version in passing pulls it
    Given 60 nodes in 9 data centres of 3 regions that see each other
    When one of them commits a version that nobody was pushed, and probes another
    Then the other pulls from it once the push had time to come

  Scenario: A suspect refutes and stays
    Given 60 nodes in 9 data centres of 3 regions that see each other
    When one node suspects another and tells it
    Then the suspect is alive again in that node's view

  Scenario: What gossip brings again is not read, and nothing else is left out
    Given 30 nodes in 9 data centres of 3 regions that see each other
    When one of them takes 300 datagrams of gossip, older and newer, also of itself
    Then it believes and passes on the same as one that reads all of them
    And most of the records were not read

  Scenario: A partition does not empty a view
    Given 60 nodes in 9 data centres of 3 regions that see each other
    When one node hears from nobody for a minute
    Then it still has 59 others in its view, and finds them again when they answer

  Scenario: A change of ten routes is carried by the pushes themselves
    Given 60 nodes in 9 data centres of 3 regions that see each other
    When one of them commits a version of 10 new services and routes
    Then all have it in force and at most 70 pushes were sent

  Scenario: Those with narrow links leave reading the store to others
    Given 20 members of a data centre, 2 of them with a link of 50 Mbit/s and the rest of 3
    Then those 2 are its readers
    And while links are not known 2 members are its readers

  Scenario Outline: Of the readers of a row that operators write, two push a version, by turns
    Given <members> members in <places> data centres that read the operators' row
    Then <readers> of them are readers
    And each of 60 versions is pushed by 2 of them, readers both
    And none of them pushes more than a third of the versions

    Examples:
      | members | places | readers |
      | 10      | 4      | 8       |
      | 10      | 1      | 8       |
      | 11      | 3      | 9       |
      | 195     | 5      | 10      |
      | 950     | 9      | 18      |

  Scenario Outline: While daemons restart one after another whole views are compared at most so often
    Given a member of a fleet of <size> whose view differs from each that it hears of
    Then in 60 seconds of 4 messages each it compares whole views at most <most> times, and does

    Examples:
      | size | most |
      | 13   | 30   |
      | 195  | 11   |
      | 950  | 3    |
