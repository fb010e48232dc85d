Feature: A withdrawn key ends for requests that wait

  Scenario: A queued request is refused, and a running answer ends whole
    Given a deployment with 1 entry
      | name | kind   | slots |
      | e1   | engine | 2     |
    When beta asks entry-1 for 2 times 400 tokens of work as running
    And 0.3 seconds pass
    And acme asks entry-1 for 3 times 10 tokens of work as queued
    And beta asks entry-1 for 2 times 10 tokens of work as other
    And the key of acme is withdrawn
    Then all of queued are refused with key_withdrawn
    And all of running are answered whole
    And all of other are answered whole
    And every refusal that says not run is true
