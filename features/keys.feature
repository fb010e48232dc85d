Feature: Keys stay with the router and end at once

  Background:
    Given a deployment with 2 entries
      | name   | kind    | pool   | slots |
      | e1     | engine  | model  | 2     |
      | e2     | engine  | model  | 2     |
      | desk   | service | orders | 2     |
      | trace  | service | trace  | 2     |

  Scenario Outline: A key in each usual place reaches no upstream
    When beta traces <path> through entry-1 with <headers> as traced
    Then traced is answered whole
    And no upstream saw a key

    Examples:
      | path                            | headers                               |
      | kit                             | {"Authorization": "Bearer KEY"}       |
      | kit                             | {"x-api-key": "KEY"}                  |
      | kit?api_key=KEY&depot=7         | {}                                    |
      | kit                             | {"Cookie": "depot=7; api_key=KEY"}    |
      | kit?key=KEY                     | {"Authorization": "Bearer KEY"}       |
      | kit                             | {"x-api-key": "KEY", "X-Note": "KEY"} |

  Scenario: Retry and resume show no key either
    When acme asks entry-1 for 80 tokens of reply as long-0
    And acme asks entry-1 for 80 tokens of reply as long-1
    And 0.3 seconds pass
    And e1 is killed
    Then all of long are answered whole
    And no upstream saw a key

  Scenario: Forged headers change neither organisation nor priority
    When beta traces kit through entry-1 with {"x-api-key": "KEY", "X-Organisation": "acme", "X-Priority": "0", "X-Labels": "a=b"} as forged
    Then forged is answered whole
    And no upstream saw the header X-Organisation
    And no upstream saw the header X-Labels

  Scenario: A withdrawn key ends for a caller that stays connected
    When acme traces kit through entry-1 as before
    Then before is answered whole
    When the key of acme is withdrawn
    Then every process has the newest configuration within 5 seconds
    When acme traces kit through entry-1 as after
    Then after is refused with key_withdrawn

  Scenario: A withdrawn key ends at an entry that is cut off from the store
    When entry-2 is cut off from the platform
    And the key of acme is withdrawn
    And beta traces kit through entry-2 as contact
    And 3 seconds pass
    And acme traces kit through entry-2 as after
    Then after is refused with key_withdrawn

  Scenario: The store goes down right after it took the withdrawal
    When no process reads the table
    And an operator withdraws the key of acme and the table goes down at once
    And every process reads the table again
    And 1 seconds pass
    And acme traces kit through entry-2 as after
    And acme traces kit through entry-1 as later
    Then after is refused with key_withdrawn
    And later is refused with key_withdrawn
    And every process has version 2 within 5 seconds
