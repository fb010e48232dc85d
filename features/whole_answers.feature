Feature: Each caller gets its own whole answer

  Background:
    Given a deployment with 2 entries
      | name | kind   | slots |
      | e1   | engine | 4     |
      | e2   | engine | 4     |

  Scenario: An upstream is killed in the middle of its streams
    When acme asks entry-1 for 4 times 120 tokens of reply as one
    And beta asks entry-2 for 4 times 120 tokens of reply as two
    And 0.5 seconds pass
    And e1 is killed
    Then all of one have their own whole text of 120 tokens
    And all of two have their own whole text of 120 tokens

  Scenario: A sidecar is killed in the middle of its streams
    When acme asks entry-1 for 4 times 120 tokens of reply as one
    And 0.5 seconds pass
    And sidecar-e1 is killed
    Then all of one have their own whole text of 120 tokens

  Scenario: The wire breaks in the middle of the streams
    When acme asks entry-1 for 6 times 120 tokens of reply as one
    And 0.5 seconds pass
    And the wire to e1 is cut
    And the wire to e1 is open
    Then all of one have their own whole text of 120 tokens

  Scenario: Frames come late
    When acme asks entry-1 for 6 times 60 tokens of reply as one
    And 0.3 seconds pass
    And the wire to e1 is one_way
    And 2 seconds pass
    And the wire to e1 is open
    Then all of one have their own whole text of 60 tokens

  Scenario: An engine crashes after some tokens
    When the engine e1 is told {"crash_after_tokens": 20}
    And acme asks entry-1 for 4 times 60 tokens of reply as one
    Then all of one have their own whole text of 60 tokens

  Scenario: An engine turns so slow that a stream outlasts its deadline
    When the engine e1 is told {"speed": 0.05}
    And the wire to e2 is cut
    And acme asks entry-1 for 120 tokens of reply as one
    Then one has the whole text of 120 tokens

  Scenario: Whole answers that are not streamed
    When acme asks entry-1 for 60 whole tokens of reply as one
    And 0.3 seconds pass
    And e1 is killed
    Then one has the whole text of 60 tokens

  Scenario: An entry restarts and others go on
    When acme asks entry-2 for 4 times 120 tokens of reply as one
    And entry-1 is killed
    And entry-1 is restarted
    And beta asks entry-1 for 4 times 40 tokens of reply as two
    Then all of one have their own whole text of 120 tokens
    And all of two have their own whole text of 40 tokens
