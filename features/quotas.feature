Feature: Quotas of organisations hold across the fleet

  The rule: in any window of 5 s, the requests of an organisation that reach servers, summed over all
  daemons, are at most (rate x 5 + burst) x 1.1 + 20; at least 0.95 of a quota is used while more is
  asked for; what is within the quota is not refused. Simulated fleets run the functions of every
  daemon and of the owners. Sizes of organisations fall as 1/rank^1.2, 2,000 requests/s in all;
  a quota is 1.6 times the usual rate.

  # Guards against a meter that costs messages, waits or refusals while nothing is scarce.
  Scenario: Organisations below their quotas are served as without quotas
    Given a simulated fleet of 84 daemons
    And all organisations send at their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 20 s
    Then no window holds more than permitted
    And nothing is refused
    And at most 0.05 of the requests wait for an answer

  # Guards against control traffic that is small on average and large at the owners.
  @known_red
  Scenario: Messages on quotas stay within the control traffic of each daemon
    Given a simulated fleet of 84 daemons
    And all organisations send at their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 20 s
    Then each daemon sends and receives at most 4,096 bytes/s of messages on quotas
    And on average a daemon sends and receives at most 1,500 bytes/s of them

  # Guards against a bound that holds for large or for small organisations only, and against tokens
  # that lie unused at daemons without demand.
  Scenario Outline: An organisation far over its quota gets its quota, and others all they ask for
    Given a simulated fleet of 84 daemons
    And "org-02" and "org-15" and "org-60" send at their usual rates
    And "<hot>" sends at <times> times its usual rate from second 10
    When the fleet runs for 10 s to settle
    And it runs for 25 s
    Then no window holds more than permitted
    And "<hot>" uses at least 0.95 of its quota from second 17 to 35
    And nothing of "org-02" and "org-15" and "org-60" is refused
    And refused callers of "<hot>" are told different times

    Examples:
      | hot    | times |
      | org-01 | 4.2   |
      | org-20 | 4.2   |
      | org-84 | 4.2   |
      | org-84 | 100   |

  # Guards against refusals decided by the owner, one message each.
  Scenario: Refusals of a large organisation cost no message each
    Given a simulated fleet of 84 daemons
    And "org-01" sends at 8 times its usual rate from second 0
    When the fleet runs for 10 s to settle
    And it runs for 10 s
    Then there are at least 10 refusals for each report

  # Guards against quotas that stay where the demand was.
  Scenario Outline: Demand that moves between data centres every second
    Given a simulated fleet of 84 daemons
    And callers use one data centre, another one each second
    And "org-01" and "org-20" and "org-84" send at <times> times their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 25 s
    Then no window holds more than permitted
    And "org-01" and "org-20" and "org-84" use at least <used> of their quotas from second 17 to 35

    Examples:
      | times | used |
      | 4.2   | 0.95 |
      | 1.0   | 0.0  |

  # Guards against refusals of what is within the quota, when the daemons that are asked hold nothing.
  Scenario: Demand within the quota that moves between data centres is not refused
    Given a simulated fleet of 84 daemons
    And callers use one data centre, another one each second
    And "org-01" and "org-20" and "org-84" send at 1.0 times their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 25 s
    Then nothing is refused

  # Guards against a burst that is refused because no daemon holds tokens for it.
  Scenario Outline: A burst after a quiet time is within the quota
    Given a simulated fleet of 84 daemons
    When the fleet runs for 15 s to settle
    And each organisation sends its burst at once to <where>
    And it runs for 2 s
    Then nothing is refused
    And no window holds more than permitted

    Examples:
      | where       |
      | one daemon  |
      | all daemons |

  # Guards against the owner as a single point of failure, and against two meters that add up.
  Scenario Outline: The owners of organisations over their quotas <fault>
    Given a simulated fleet of 84 daemons
    And "org-01" and "org-20" and "org-84" send at 4.2 times their usual rates
    And "org-02" sends at its usual rate
    When the fleet runs for 15 s to settle
    And the owners <fault>
    And it runs for 25 s
    Then no window holds more than permitted
    And "org-01" and "org-20" and "org-84" use at least 0.95 of their quotas from second 30 to 40
    And nothing of "org-02" is refused after second 28

    Examples:
      | fault                                     |
      | are killed                                |
      | are frozen for 6 s and woken              |
      | are frozen for 0.9 s every 3 s            |
      | are cut off                               |
      | restart under their addresses             |

    @known_red
    Examples:
      | fault                                    |
      | are doubted by half of the fleet for 3 s |

  # Guards against many new daemons that know nothing and grant or start much at once.
  Scenario: Half of the fleet is started at once
    Given a simulated fleet of 84 daemons
    And "org-01" and "org-20" and "org-84" send at 4.2 times their usual rates
    When the fleet runs for 15 s to settle
    And half of the daemons are killed and started 2 s later
    And it runs for 20 s
    Then no window holds more than permitted
    And "org-01" and "org-20" and "org-84" use at least 0.95 of their quotas from second 27 to 35

  # Guards against incarnations taken from a wall clock that was set back.
  Scenario: A daemon restarted under its address while its wall clock jumps back is metered
    Given a simulated fleet of 84 daemons
    And "org-20" sends at 4.2 times its usual rate from second 0
    When the fleet runs for 15 s to settle
    And 10 daemons restart with clocks that were set back
    And it runs for 15 s
    Then no window holds more than permitted
    And "org-20" uses at least 0.95 of its quota from second 20 to 30

  # Guards against tokens of the former quota that are still used, and against requests before the
  # change that are held against the new quota.
  Scenario: A quota lowered to a tenth applies from its version on
    Given a simulated fleet of 84 daemons
    And "org-01" and "org-20" and "org-84" send at 1.0 times their usual rates
    When the fleet runs for 15 s to settle
    And their quotas are divided by 10
    And it runs for 20 s
    Then no window since then holds more than permitted
    And "org-01" and "org-20" use at least 0.95 of their quotas from second 20 to 35

  # Guards against counts that a lost report loses, and against a lost answer that refuses a request.
  Scenario: A tenth of the messages is lost
    Given a simulated fleet of 84 daemons that loses 0.1 of the messages
    And "org-01" and "org-84" send at 4.2 times their usual rates
    And "org-02" and "org-15" and "org-60" send at their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 25 s
    Then no window holds more than permitted
    And "org-01" and "org-84" use at least 0.95 of their quotas from second 15 to 35
    And nothing of "org-02" and "org-15" and "org-60" is refused

  # Guards against retries that reach servers without a token.
  Scenario: Retries that reach servers again take tokens
    Given a simulated fleet of 84 daemons
    And a third of the requests is sent to a server a second time
    And "org-01" and "org-20" send at 3 times their usual rates
    When the fleet runs for 10 s to settle
    And it runs for 20 s
    Then no window holds more than permitted
    And "org-01" and "org-20" use at least 0.95 of their quotas from second 12 to 30

  # Guards against state and messages for organisations without a limit.
  Scenario: Without quotas there is nothing to do
    Given a simulated fleet of 84 daemons without quotas
    And all organisations send at their usual rates
    When the fleet runs for 5 s to settle
    Then nothing is refused
    And no message was sent
    And no daemon keeps anything about organisations

  # Guards against grants that arrive late, from an owner that was frozen or is no longer one.
  Scenario: A grant for a report older than the last two is ignored
    Given a user that has sent three reports which were not answered
    When the grant for the first of them arrives
    Then it starts nothing
    When the grant for the third of them arrives
    Then it starts as many as granted

  # Guards against reports that are repeated by the network and charged twice.
  Scenario: A report that arrives twice is charged once
    Given an owner that gets a report
    When the same report arrives again
    Then it isn't answered, and the tokens left are the same

  # Guards against an encoding that loses a field.
  Scenario: Messages on quotas arrive as they were sent
    Then a report and a grant are the same after encoding and decoding

  # Guards against an owner that is chosen from an incomplete first view.
  Scenario: Daemons that have just started own nothing while others can
    Then of members of which half started just now, the others are chosen
    And of members that all started just now, some are chosen

  # Guards against organisations that are refused until owners are known, seconds after all daemons
  # have started at once.
  Scenario: A daemon that has just started serves its share before an owner has answered
    Given one of 20 daemons that has just started, and an organisation with 40 requests/s
    When 2 requests/s of it arrive for 4 s and no owner answers
    Then all of them start
    When 20 requests/s of it arrive for 4 s and no owner answers
    Then at most 13 of them start
