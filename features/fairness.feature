Feature: Organisations share a server by their quotas

  The load: 30 organisations whose sizes decrease as 1/rank^1.2 ask a server with five slots for
  lookups of 178 ms with an objective of 579 ms, together for 0.8 of its slots.

  # Guards against an organisation that fills the queue, so that those of others are refused.
  Scenario Outline: An organisation of rank <rank> at ten times its load takes idle slots alone
    When the organisation of rank <rank> sends ten times its usual load, in 4 plays of 60 seconds
    Then the others are answered in time within 0.05 of what they are without it
    And the smallest tenth of them is answered in time within 0.05 of their mean

    Examples:
      | rank |
      | 1    |
      | 3    |
      | 10   |

  # Guards against a large organisation that is held back although it pays for more.
  Scenario: Within their quotas, organisations of all sizes are answered alike
    When no organisation sends more than usual, in 4 plays of 60 seconds
    Then the largest three are answered in time within 0.05 of the mean

  # Guards against work in proportion to the number of organisations.
  Scenario: Organisations that are not ahead of their shares are forgotten
    When 10000 organisations have sent one request each
    Then at most 128 of them are remembered

  # Guards against a change for deployments without organisations.
  Scenario: Without organisations the order is unchanged
    When 20 requests without an organisation are queued
    Then none of them is ahead of its share
