Feature: Teams and their keys, as processes

  # Guards against requests and calls of jobs that are served without a key,
  # and against keys and claimed teams that reach a server.
  Scenario: a request needs a key, and servers get the team instead
    Given a daemon with teams
    Then calls without a key or with an unknown one are answered 401
    And a path without a route is answered 404 whatever the key
    And the engine is told the team of each key and of no claim
    And items of a job are sent with the team that submitted it

  # Guards against teams that reach the jobs of others, and jobs that end with
  # the key that submitted them.
  Scenario: a job belongs to the team that submitted it
    Given a daemon with teams
    When amber submits a job under its first key
    Then birch gets 404 on each call of the job and 409 on its submission
    When a new version removes the first key of amber
    Then the first key is answered 401 and the second reads and cancels the job

  Scenario: no key is logged or stored by a host
    Given a daemon with teams
    When amber submits a job under its first key
    And calls come with known and unknown keys
    And a configuration that cannot be read names keys
    Then no log and no object of the daemon contains a key

  # Guards against stored items that bring the key of their caller to a server
  # when the configuration gets teams.
  Scenario: a job that was accepted without teams runs under none
    Given a daemon without teams
    Then headers of callers reach the engine unchanged
    When a job waits whose items carry a key
    And a new version adds teams
    And the engine takes requests again
    Then its items are run without a team or key
    And each team may read the job and no one else
    When a new version removes all teams
    Then a request without a key is served and its job can be read

  # Guards against hosts that serve removed keys for as long as they are cut off.
  Scenario: a strict host that is cut off refuses keys before the bound
    Given a daemon with teams and a strict bound, and one without the bound
    When the platform rejects both hosts and a new version removes a key
    Then the strict host answers 503 and is not ready 5 seconds later
    And the other host goes on to serve the key
    And the strict host answers 503 to unknown keys and reads jobs
    And the strict host serves requests of the anonymous route without a key
    When the platform accepts both hosts again
    Then the strict host is ready again and answers 401 to the removed key
    And its log tells once that the state began and once that it ended

  # Guards against hosts that refuse keys though other hosts of their zone tell
  # them of the configuration.
  Scenario: a strict host learns of the configuration from its zone
    Given two daemons with teams and a strict bound
    When the platform rejects the first host only
    Then the first host serves keys for 8 seconds without a refusal
