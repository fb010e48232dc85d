Feature: Planned stops cut off no request, and a leaving upstream gets no new work

  Background:
    Given a deployment with 2 entries
      | name | kind   | slots |
      | e1   | engine | 4     |
      | e2   | engine | 4     |

  Scenario: An entry is asked to stop while streams run
    When acme asks entry-1 for 4 times 400 tokens of reply as one
    And 0.3 seconds pass
    And entry-1 is asked to stop
    Then all of one have their own whole text of 400 tokens
    And entry-1 exits with 0

  Scenario: A sidecar is asked to stop while streams run and others wait
    When acme asks entry-1 for 12 times 60 tokens of reply as one
    And 0.3 seconds pass
    And sidecar-e1 is asked to stop
    Then all of one have their own whole text of 60 tokens
    And e1 finished whatever it began
    And sidecar-e1 exits with 0

  Scenario: An entry and a sidecar are asked to stop at once
    When acme asks entry-1 for 4 times 100 tokens of reply as one
    And beta asks entry-2 for 4 times 100 tokens of reply as two
    And 0.3 seconds pass
    And entry-1 is asked to stop
    And sidecar-e1 is asked to stop
    Then all of one have their own whole text of 100 tokens
    And all of two have their own whole text of 100 tokens
    And e1 finished whatever it began
    And entry-1 exits with 0
    And sidecar-e1 exits with 0

  Scenario: An upstream leaves by its own word during a burst
    When acme asks all for 8 times 300 tokens of reply as one
    And 0.3 seconds pass
    And sidecar-e1 is asked to stop
    And 0.5 seconds pass
    Then e1 runs nothing new
    And sidecar-e1 is still running
    And all of one are answered whole
    And sidecar-e1 exits with 0

  Scenario: An upstream is drained by an operator
    When acme asks all for 4 times 40 tokens of reply as one
    And the upstream e1 is drained
    And 3 seconds pass
    Then e1 runs nothing new
    And all of one are answered whole

  Scenario: The host list says that an upstream leaves
    When the host list says that e1 leaves
    And 5 seconds pass
    Then e1 runs nothing new
