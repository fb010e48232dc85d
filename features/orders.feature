Feature: An engine gets no order with an old fencing number

  Background:
    Given a deployment with 2 entries
      | name | kind   | options         |
      | e1   | engine | --ignore-fences |
      """
      {"fleet": {"lease_duration": 3.0, "lease_margin": 0.5}}
      """

  Scenario: An operator's order reaches the engine once
    When an operator orders load_adapter first of e1
    Then e1 carried out load_adapter first once within 15 seconds
    And no order is open within 5 seconds

  Scenario: The holder is frozen past its lease and the sidecar restarts
    When an operator orders load_adapter first of e1
    Then e1 carried out load_adapter first once within 15 seconds
    When the holder of the engine-orders lease is frozen
    And another process takes the engine-orders lease
    And sidecar-e1 is killed
    And sidecar-e1 is restarted
    And an order with the frozen holder's number reaches sidecar-e1
    Then that order is stale
    When an operator orders load_adapter second of e1
    Then e1 carried out load_adapter second once within 15 seconds
    When an order with the frozen holder's number reaches sidecar-e1
    Then that order is stale
    When the frozen process is thawed
    And 3 seconds pass
    Then the engine of e1 saw no fencing number go down
