Feature: Callers that hang up early keep no place at an upstream

  Background:
    Given a deployment with 2 entries
      | name | kind   | slots |
      | e1   | engine | 4     |
      | e2   | engine | 4     |

  Scenario: Callers hang up right after the last byte of their requests
    When acme hangs up 50 times at entry-1 right after asking for 40 tokens of reply
    And acme asks entry-1 for 4 times 40 tokens of reply as one
    Then all of one have their own whole text of 40 tokens
    And no process holds anything within 10 seconds
