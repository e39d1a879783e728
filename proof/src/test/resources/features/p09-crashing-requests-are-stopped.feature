Feature: P9 A request whose content crashes upstreams is stopped after at most two upstreams

  @h28
  Scenario: Two requests run beside each other when a replica crashes
    Given 7 virtual daemons
    When replica "r1" crashes while virtual daemon 1 runs "delete all tables now; count the towels" on it
    Then "delete all tables now" is isolated on virtual daemons "1, 2, 7"
    And "count the towels" is isolated on virtual daemons "1, 2, 7"
    And "delete all tables now" may not run on replica "r1" by virtual daemon 7
    When replica "r2" crashes while virtual daemon 2 runs "delete all tables now" on it
    Then "delete all tables now" is quarantined on virtual daemons "1, 2, 3, 4, 5, 6, 7"
    And "count the towels" is isolated on virtual daemons "1, 2, 7"
    When 31 min pass
    Then "delete all tables now" is normal on virtual daemons "1, 2, 3, 4, 5, 6, 7"
    And "count the towels" is normal on virtual daemons "1, 2, 7"

  @h28 @h29
  Scenario: Both suspects meet again on a second replica, which crashes too
    Given 7 virtual daemons
    When replica "r1" crashes while virtual daemon 1 runs "delete all tables now; count the towels" on it
    And replica "r2" crashes while virtual daemon 1 runs "delete all tables now; count the towels" on it
    Then "count the towels" is isolated on virtual daemons "1, 2, 7"
    And "delete all tables now" is isolated on virtual daemons "1, 2, 7"

  @h30
  Scenario: One replica crashes twice by itself while a daemon is killed
    Given 7 virtual daemons
    When replica "r1" crashes while virtual daemon 1 runs "count the towels" on it
    And virtual daemon 1 is killed
    And replica "r1" crashes while virtual daemon 2 runs "count the towels" on it
    Then "count the towels" is isolated on virtual daemons "2, 3, 7"

  @h29
  Scenario: The daemon that saw the first crash is killed and the repeat differs a little
    Given 7 virtual daemons
    When replica "r1" crashes while virtual daemon 1 runs "wash the large brown dog" on it
    And virtual daemon 1 is killed
    And replica "r2" crashes while virtual daemon 2 runs "wash the large brown dog+ again" on it
    Then "wash the large brown dog" is quarantined on virtual daemons "2, 3, 7"

  @h28 @h29
  Scenario: Request content crashes real engines, and one of the daemons that saw it is killed
    Given a fleet of 3 daemons
    And each replica of assistant crashes on "poison"
    When draft "poison" of 20 tokens is sent to daemon 1
    And the answers to "poison" have arrived
    And draft "poison" of 20 tokens is sent to daemon 2
    And the answers to "poison" have arrived
    And daemon 2 is killed
    And draft "poison" of 20 tokens is sent to daemon 3
    And the answers to "poison" have arrived
    And draft "poison" of 20 tokens is sent to daemon 1
    And the answers to "poison" have arrived
    And 6 drafts "good" of 20 tokens are sent to daemon 1
    Then the requests "poison" ran on at most 2 replicas
    And answer 4 to "poison" is the outcome not-run
    And all answers to "good" are whole and the callers' own
