Feature: A limit holds over all entries, wherever the requests come in

  Scenario: All requests of an organisation come to one of two entries
    Given acme may send 10 requests a second
    And a deployment with 2 entries
      | name  | kind    |
      | trace | service |
    When acme traces through entry-1 20 times a second for 45 seconds as all
    Then of all after 25 seconds at least 8 and at most 12 a second are answered
