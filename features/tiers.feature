Feature: Higher tiers survive overload, and no class starves

  Background:
    Given a deployment with 2 entries
      | name | kind   | slots | queue |
      | e1   | engine | 2     | 6     |
      | e2   | engine | 2     | 6     |

  Scenario: Five times the capacity in bulk work sheds no reply
    When acme asks all for 40 times 60 tokens of bulk as bulk
    And 0.3 seconds pass
    And beta asks all for 10 times 10 tokens of reply as reply
    Then all of reply are answered whole
    And at least 4 of bulk are answered whole
    And every refusal that says not run is true
    And every refusal says when to come back

  Scenario: One upstream is full of bulk work
    When the wire to e2 is cut
    And acme asks all for 12 times 100 tokens of bulk as bulk
    And the wire to e2 is open
    And beta asks all for 8 times 10 tokens of reply as reply
    Then all of reply are answered whole

  Scenario: A straggler
    When the engine e1 is told {"speed": 0.1}
    And acme asks all for 20 times 30 tokens of bulk as bulk
    And beta asks all for 6 times 5 tokens of reply as reply
    Then all of reply are answered whole
    And every refusal that says not run is true

  Scenario: An upstream is killed in the middle of a burst
    When acme asks all for 20 times 40 tokens of bulk as bulk
    And beta asks all for 6 times 60 tokens of reply as reply
    And 0.4 seconds pass
    And e1 is killed
    Then all of reply are answered whole
    And every refusal that says not run is true

  Scenario: Bulk work moves while replies come above capacity for the whole time
    When beta floods all with 20 tokens of reply 60 times a second for 12 seconds as flood
    And 1 seconds pass
    And acme keeps asking entry-1 for 10 tokens of bulk for 10 seconds as bulk-first
    And acme keeps asking entry-2 for 10 tokens of bulk for 10 seconds as bulk-second
    Then bulk-first is answered whole
    And bulk-second is answered whole
    And bulk-first ended before the last of flood
    And bulk-second ended before the last of flood
    And every refusal that says not run is true
