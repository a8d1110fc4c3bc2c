Feature: The catalogue is checked whole before anything takes effect

  Scenario Outline: A bad catalogue file names file, key, value and what was expected
    When the catalogue file "<text>" is checked
    Then a problem names "<key>" with "<given>"

    Examples:
      | text                                                                             | key                        | given     |
      | entries: [                                                                       | (document)                 | flow      |
      | nonsense: 1                                                                      | nonsense                   | 1         |
      | services: [{name: a, owner: o, extra: 2}]                                        | services[0].extra          | 2         |
      | services: [{name: a}]                                                            | services[0].owner          | (missing) |
      | services: [{name: a, owner: o}, {name: a, owner: o}]                             | services[1].name           | a         |
      | entries: [{name: a, owner: o, traffic_class: c, limits: {slots: -1}}]            | entries[0].limits.slots    | -1        |
      | entries: [{name: a, owner: o, traffic_class: c, limits: {slots: 2, reserved: 3}}] | entry/a.limits.reserved    | 3         |
      | routes: [{name: r, host: h, prefix: /, methods: [GET], service: s, entry: e, idempotent: true, deadline_ms: 5}] | route/r.service | s |

  Scenario: All problems come in one go
    When the catalogue file "services: [{name: A}, {name: b, x: 1}]" is checked
    Then there are 4 problems

  Scenario: The examples are good
    Then the example catalogues have no problems

  Scenario: Two operators who edit different entries both succeed
    Given a catalogue with entries a and b
    When operator 1 edits a and operator 2 edits b from the same base
    Then both edits are accepted

  Scenario: Two operators who edit one entry get a conflict that shows both sides
    Given a catalogue with entries a and b
    When operator 1 edits a and operator 2 edits a from the same base
    Then the second edit conflicts and shows revision 1 and revision 2
