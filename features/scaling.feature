Feature: Upstreams are started under pressure, and drained and stopped in slack, by one process

  Scenario: A pool under pressure grows, and shrinks again to the last upstream that a route needs
    Given a deployment with 2 entries
      | name | kind   | slots | queue |
      | e1   | engine | 2     | 6     |
      | e2   | engine | 2     | 6     |
      """
      {"entry_settings": {"scaling": {"enabled": true, "pools": ["model"], "sample_interval": 0.5,
        "hold_up": 1.5, "hold_down": 3, "settle": 1, "join_timeout": 10, "drain_spread": 2}},
       "fleet": {"lease_duration": 3.0, "lease_margin": 0.5}, "unstarted": ["e2"]}
      """
    And e2 does not run
    When acme floods all with 100 tokens of reply 8 times a second for 8 seconds as crowd
    Then 1 upstream of model is ordered within 25 seconds
    When the platform starts e2
    Then e1 or e2 is drained and ordered to stop within 60 seconds
    When the platform stops what was ordered to stop
    Then no upstream is drained within 20 seconds
    And 1 stop is ordered within 1 seconds
    When 6 seconds pass
    Then 1 stop is ordered within 1 seconds
    When acme asks all for 4 times 10 tokens of reply as after
    Then all of after are answered whole

  Scenario Outline: The holder is frozen <point> past its lease, then woken
    Given a deployment with 2 entries
      | name | kind   | slots | queue |
      | e1   | engine | 2     | 6     |
      | e2   | engine | 2     | 6     |
      """
      {"entry_settings": {"scaling": {"enabled": true, "pools": ["model"], "sample_interval": 0.5,
        "hold_up": 1.5, "hold_down": 600, "settle": 1, "join_timeout": 3, "drain_spread": 2}},
       "fleet": {"lease_duration": 3.0, "lease_margin": 0.5}, "unstarted": ["e2"],
       "platform_options": ["--ignore-fences"]}
      """
    And e2 does not run
    When some process holds the scaling lease
    And acme floods all with 100 tokens of reply 8 times a second for 25 seconds as crowd
    And the holder of the scaling lease is frozen <point>
    And another process takes the scaling lease
    Then an order of another holder arrives within 20 seconds
    When the frozen process is thawed
    And 4 seconds pass
    Then the fencing numbers of orders never go down
    And no order arrived twice with effect

    Examples:
      | point                         |
      | while it writes an intent     |
      | while its order is on its way |
      | between two pieces of work    |

  Scenario: The table is slow during renewals
    Given a deployment with 2 entries
      | name | kind   | slots | queue |
      | e1   | engine | 2     | 6     |
      | e2   | engine | 2     | 6     |
      """
      {"entry_settings": {"scaling": {"enabled": true, "pools": ["model"], "sample_interval": 0.5,
        "hold_up": 1.5, "hold_down": 600, "settle": 1, "join_timeout": 3, "drain_spread": 2}},
       "fleet": {"lease_duration": 3.0, "lease_margin": 0.5}, "unstarted": ["e2"],
       "platform_options": ["--ignore-fences"]}
      """
    And e2 does not run
    When some process holds the scaling lease
    And acme floods all with 100 tokens of reply 8 times a second for 20 seconds as crowd
    And the table takes 1.7 seconds
    And 12 seconds pass
    And the table is well
    Then an order of any holder arrives within 20 seconds
    And the fencing numbers of orders never go down
    And no order arrived twice with effect
