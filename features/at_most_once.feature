Feature: A non-idempotent request runs at most once

  Background:
    Given a deployment with 2 entries
      | name   | kind    | pool   |
      | desk-1 | service | orders |
      | desk-2 | service | orders |

  Scenario: A repeat through another entry gets the first answer
    When acme posts order 7 through entry-1 as first
    Then first is answered whole
    When acme posts order 7 through entry-2 as second
    Then first and second have the same answer
    And order 7 took effect 1 time

  Scenario: The same number of another organisation is another order
    When acme posts order 7 through entry-1 as first
    And beta posts order 7 through entry-2 as second
    Then first is answered whole
    And second is answered whole
    And order 7 took effect 2 times

  Scenario: The answer is lost after the effect
    When desk-1 has the fault drop_answer
    And desk-2 has the fault drop_answer
    And acme posts order 7 through entry-1 as first
    Then first is refused with upstream_failed and may have run
    When desk-1 has the fault none
    And desk-2 has the fault none
    And acme posts order 7 through entry-2 as second
    Then second is refused with duplicate_unsettled and may have run
    And order 7 took effect 1 time

  Scenario: The entry dies while the call runs, and the caller repeats
    When desk-1 has the fault slow
    And desk-2 has the fault slow
    And acme posts order 7 through entry-1 as first
    And 0.4 seconds pass
    And entry-1 is killed
    And acme posts order 7 through entry-2 as second
    Then second is answered whole
    And order 7 took effect 1 time

  Scenario: The sidecar dies while the call runs
    When desk-1 has the fault hang
    And desk-2 has the fault hang
    And acme posts order 7 through entry-1 as first
    And 0.4 seconds pass
    And sidecar-desk-1 is killed
    And sidecar-desk-2 is killed
    Then first is refused with outcome_unknown and may have run
    And order 7 took effect at most once

  Scenario: The wire breaks while the call runs
    When desk-1 has the fault slow
    And desk-2 has the fault slow
    And acme posts order 7 through entry-1 as first
    And 0.4 seconds pass
    And the wire to desk-1 is cut
    And the wire to desk-2 is cut
    And the wire to desk-1 is open
    And the wire to desk-2 is open
    Then first is answered whole
    And order 7 took effect 1 time

  Scenario: Without the store nothing runs that could run twice
    When the table is down
    And acme posts order 7 through entry-1 as first
    Then first is refused with store_unavailable
    And order 7 took effect 0 times
    And every refusal that says not run is true
