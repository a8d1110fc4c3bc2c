Feature: A daemon starts by whatever figures a deployment gives

  Scenario: A bound of the fleet that is not whole
    When the deploy template is rendered with "bounds.retry_slack" as 30.714285714285715
    Then the settings hold a budget slack of 30.714285714285715

  Scenario Outline: A figure that a deployment leaves out gets its default
    When the deploy template is rendered without "<field>"
    Then the settings hold the default of "<key>"

    Examples:
      | field                     | key           |
      | limits.bandwidth_mbps     | bandwidth     |
      | bounds.retry_slack        | budget_slack  |
      | bounds.retry_budget_ratio | budget_ratio  |
      | bounds.budget_window_s    | budget_window |
      | bounds.grace_s            | calls_grace   |
      | bounds.quota_window_s     | quota_window  |
      | bounds.quota_overage      | quota_overage |
      | bounds.quota_slack        | quota_slack   |

  Scenario: A deployment that tells how long a process has to end bounds a stop by that alone
    When the deploy template is rendered with "bounds.grace_s" as 4.5
    Then a stop ends 4.15 s after the signal

  Scenario: A deployment that doesn't tell keeps the limit of before
    When the deploy template is rendered without "bounds.grace_s"
    Then a stop ends 5.2 s after the signal

  Scenario: A field that nobody knows yet is passed over
    When the deploy template is rendered with "bounds.new_s" as 7
    Then the settings hold the default of "log_level"

  Scenario: Figures drawn at random, whole or not, zero or very large, there or missing
    When the deploy template is rendered 300 times with figures drawn by seed 17
    Then each rendering gives settings with those figures

  Scenario: A figure that no daemon can use is named
    When the deploy template is rendered with "bounds.retry_slack" as -1
    Then a problem names the key "budget.slack" and the value -1
