Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a deployment with 2 entries
      | name  | kind    | pool  |
      | e1    | engine  | model |
      | trace | service | trace |

  Scenario: Two operators change it at the same moment
    When two operators write the same version at the same moment
    Then one of them has a conflict
    And every process has the newest configuration within 5 seconds

  Scenario: A process is cut off from the platform
    When entry-2 is cut off from the platform
    And sidecar-trace is cut off from the platform
    And the key of beta is withdrawn
    And beta traces kit through entry-2 as contact-0
    And acme traces kit through entry-2 as contact-1
    Then every process has the newest configuration within 15 seconds

  Scenario: The store answers stale reads
    When the key of beta is withdrawn
    Then every process has the newest configuration within 5 seconds
    When the table answers reads from 30 seconds ago
    And 3 seconds pass
    And beta traces kit through entry-1 as after
    Then after is refused with key_withdrawn
    And every process has the newest configuration within 1 seconds

  Scenario: A process restarts while the store answers stale reads
    When the key of beta is withdrawn
    Then every process has the newest configuration within 5 seconds
    When the table answers reads from 30 seconds ago
    And entry-1 is killed
    And entry-1 is restarted
    And acme traces kit through entry-1 as contact
    And 2 seconds pass
    And beta traces kit through entry-1 as after
    Then after is refused with key_withdrawn

  Scenario: A process restarts during a change
    When entry-2 is killed
    And the key of beta is withdrawn
    And entry-2 is restarted
    Then every process has the newest configuration within 5 seconds
    When beta traces kit through entry-2 as after
    Then after is refused with key_withdrawn

  Scenario: A key is granted to another organisation
    When acme asks entry-1 for 150 tokens of reply as running
    And 0.3 seconds pass
    And the key of acme is granted to beta
    Then every process has the newest configuration within 5 seconds
    And running is answered whole
