Feature: Usage is billed exactly once

  Background:
    Given a deployment with 2 entries
      | name | kind   | slots |
      | e1   | engine | 4     |
      | e2   | engine | 4     |
      """
      {"fleet": {"usage_window": 2, "usage_flush_interval": 0.3, "lease_duration": 3.0, "lease_margin": 0.5}}
      """

  Scenario: Nothing fails
    When acme asks all for 20 times 10 tokens of reply as one
    And beta asks all for 10 times 20 tokens of reply as two
    Then all of one are answered whole
    And all of two are answered whole
    And acme is billed for exactly 20 calls and 200 tokens
    And beta is billed for exactly 10 calls and 200 tokens
    And no window was reported with different figures

  Scenario: An entry is killed before it stored its records
    When acme asks entry-1 for 10 times 10 tokens of reply as one
    Then all of one are answered whole
    When entry-1 is killed
    Then acme is billed for exactly 10 calls and 100 tokens

  Scenario: A sidecar is killed before the entry stored its records
    When acme asks entry-1 for 10 times 10 tokens of reply as one
    Then all of one are answered whole
    When sidecar-e1 is killed
    Then acme is billed for exactly 10 calls and 100 tokens

  Scenario: An upstream is killed in the middle of its streams
    When acme asks entry-1 for 6 times 100 tokens of reply as one
    And 0.5 seconds pass
    And e1 is killed
    Then all of one are answered whole
    And acme is billed for exactly 6 calls and 600 tokens

  Scenario: The table loses answers while records are stored
    When the table is losing answers for the next 6 calls
    And acme asks all for 20 times 10 tokens of reply as one
    Then all of one are answered whole
    And acme is billed for exactly 20 calls and 200 tokens

  Scenario: The table is down while requests run
    When the table is down
    And acme asks all for 20 times 10 tokens of reply as one
    Then all of one are answered whole
    When 3 seconds pass
    And the table is well
    Then acme is billed for exactly 20 calls and 200 tokens

  Scenario: The answer to a report is lost after it took effect
    When the reports is losing answers for the next 2 calls
    And acme asks all for 20 times 10 tokens of reply as one
    Then all of one are answered whole
    And acme is billed for exactly 20 calls and 200 tokens
    And no window was reported with different figures

  Scenario: The reporter is frozen past its lease, then woken
    When acme asks all for 10 times 10 tokens of reply as one
    Then all of one are answered whole
    When the holder of the usage lease is frozen
    And another process holds the usage lease
    And the frozen process is thawed
    And acme asks all for 10 times 10 tokens of reply as two
    Then all of two are answered whole
    And acme is billed for exactly 20 calls and 200 tokens
    And no window was reported with different figures

  Scenario: The reporter is killed
    When acme asks all for 10 times 10 tokens of reply as one
    Then all of one are answered whole
    When the holder of the usage lease is killed
    Then acme is billed for exactly 10 calls and 100 tokens
    And no window was reported with different figures
