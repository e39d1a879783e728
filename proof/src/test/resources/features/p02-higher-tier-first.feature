Feature: P2 A request of a higher tier is never refused for capacity while a lower tier is served
  # Hazards of scheduling that unit tests of module core cover:
  # @h17 ReplicaChoiceTest.OvercommitInASplit
  # @h18 ReplicaChoiceTest.StaleReportHerd
  # @h19 ReplicaChoiceTest.FastFailingReplica
  # @h21 DaemonSchedulerTest.StarvationByOneCustomer

  @h16
  Scenario: Urgent work exceeds the capacity while reports run on all daemons
    Given 3 schedulers over 12 engines of one slot each
    When 8 reports of 600 tokens are offered to each scheduler
    And the schedulers run for 2 s
    And 20 urgent replies a second are offered to scheduler 1 for 20 s
    Then urgent work was refused, and never while lower work ran
    And at least 100 urgent replies ended

  @h16 @h20
  Scenario: Half of the engines crash and a daemon dies during a burst of urgent work
    Given 3 schedulers over 12 engines of one slot each
    When 8 reports of 600 tokens are offered to each scheduler
    And the schedulers run for 2 s
    And engines 1 to 6 crash
    And scheduler 3 dies
    And 10 urgent replies a second are offered to scheduler 1 for 20 s
    Then urgent work was refused, and never while lower work ran
