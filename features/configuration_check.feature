Feature: A configuration is checked before it is sent

  Scenario: nothing is found in a sound configuration
    Given the configuration
    When it is checked
    Then the exit code is 0 and it prints "nothing found"

  # Guards against a command line that starts a daemon instead.
  Scenario: the command line of the platform has the check
    Given the configuration with Version as 0
    When the command line of the platform checks it
    Then the exit code is 2 and it prints "versions begin at 1"

  # Guards against a fault of a configuration that no check names, and against
  # a place that leads the operator to another entry.
  Scenario Outline: <place> as <value> is found
    Given the configuration with <place> as <value>
    When it is checked
    Then the exit code is <code> and it prints "<found>"
    And no key is printed

    Examples: errors of the format
      | place                     | value                          | code | found                                                       |
      | Version                   | "x"                            | 2    | error: $.Version: Input should be a valid integer           |
      | Version                   | 0                              | 2    | error: $.Version: versions begin at 1                       |
      | Version                   | absent                         | 2    | error: $.Version: Field required                            |
      | Routes.0.Kind             | "slow"                         | 2    | error: $.Routes[0].Kind: route 'replies': the kind          |
      | Routes.0.Host             | absent                         | 2    | error: $.Routes[0].Host: Field required                     |
      | Routes.1.Name             | "replies"                      | 2    | error: $.Routes[1].Name: route 'replies': the name is not   |
      | Routes.0.TimeoutMs        | -1                             | 2    | error: $.Routes[0].TimeoutMs                                |
      | Routes.0.TargetLatencyMs  | NaN                            | 2    | error: $.Routes[0].TargetLatencyMs                          |
      | Routes.0.MaxAttempts      | 0                              | 2    | error: $.Routes[0].MaxAttempts: route 'replies': has no att |
      | Routes.0.Service          | ""                             | 2    | error: $.Routes[0].Service: route 'replies': names no serv  |
      | Routes.1.TrafficSplit.0.Weight | -1                        | 2    | error: $.Routes[1].TrafficSplit[0].Weight                   |
      | Limits.MaxBodyBytes       | 0                              | 2    | error: $.Limits.MaxBodyBytes: is not above 0                |
      | Services                  | 5                              | 2    | error: $.Services: is not a list of named services          |
      | Services.2                | {"Name": "ponds"}              | 2    | error: $.Services[2].Name: service 'ponds' is listed twice  |
      | Tenants.0.ApiKeys         | KEY                            | 2    | error: $.Tenants[0].ApiKeys: Input should be a valid array  |
      | Tenants.0.ApiKeys.1       | [KEY]                          | 2    | error: $.Tenants[0].ApiKeys[1]: Input should be a valid str |
      | Tenants.0.RatePerS        | KEY                            | 2    | error: $.Tenants[0].RatePerS: Input should be a valid numb  |
      | Tenants.0.ApiKeys.1       | ""                             | 2    | error: $.Tenants[0].ApiKeys[1]: team 'amphibians': an empty |
      | Tenants.1.Name            | "amphibians"                   | 2    | error: $.Tenants[1].Name: team 'amphibians': the name is    |
      | Routes.0.Timeout          | 5                              | 1    | warning: $.Routes[0].Timeout: has a field that is not known |
      | Tenants.0.sk-ponderous-otter-17 | 5                        | 1    | warning: $.Tenants[0]: has a field that is not known        |

    Examples: entries that never match
      | place                     | value                          | code | found                                                       |
      | Routes.1.PathPrefix       | "/reply/"                      | 1    | warning: $.Routes[1].PathPrefix: route 'nightly': never mat |
      | Routes.1.PathPrefix       | "nightly/"                     | 1    | warning: $.Routes[1].PathPrefix: route 'nightly': never mat |
      | Routes.1.PathPrefix       | "/nightly?x="                  | 1    | warning: $.Routes[1].PathPrefix: route 'nightly': never mat |
      | Routes.1.Host             | "reports.example:80"           | 1    | warning: $.Routes[1].Host: route 'nightly': never matches   |
      | Routes.1.TrafficSplit.1.Weight  | 0                        | 1    | warning: $.Routes[1].TrafficSplit[1].Weight: route 'nightly |
      | Routes.1.TrafficSplit.1.Service | "puddles"                | 1    | warning: $.Routes[1].TrafficSplit[0].Service: route 'nightl |
      | Routes.1.Service          | "ponds"                        | 1    | warning: $.Routes[1].Service: route 'nightly': its traffic  |
      | Routes.0.Service          | "lakes"                        | 2    | error: $.Routes[0]: route 'replies': service 'lakes' does   |
      | Services.2                | {"Name": "lakes"}              | 1    | warning: $.Services[2].Name: no route uses service 'lakes'  |
      | Tenants.0.ApiKeys         | []                             | 1    | warning: $.Tenants[0].ApiKeys: team 'amphibians': has no k  |
      | Tenants.0.ApiKeys.1       | KEY                            | 1    | warning: $.Tenants[0].ApiKeys[1]: team 'amphibians': is li  |
      | Tenants.1.ApiKeys.1       | KEY                            | 2    | error: $.Tenants[1].ApiKeys[1]: team 'waders': is also a k  |
      | Tenants.1.Name            | KEY                            | 0    | nothing found                                               |

    Examples: limits that contradict each other
      | place                     | value                          | code | found                                                       |
      | Routes.0.TargetLatencyMs  | 9001                           | 1    | warning: $.Routes[0].TargetLatencyMs: route 'replies': the  |
      | Routes.1.MaxWaitS         | 59                             | 1    | warning: $.Routes[1].TargetCompleteMs: route 'nightly': the |
      | Limits.MaxBodyBytes       | 40                             | 1    | warning: $.Routes[1]: route 'nightly': the body limit       |
      | Routes.1.Resumable        | true                           | 1    | warning: $.Routes[1].Resumable: route 'nightly': only strea |
      | Tenants.0.RatePerS        | 0                              | 1    | warning: $.Tenants[0].Burst: team 'amphibians': a burst wi  |

  # Guards against a check of services where the configuration lists none.
  Scenario: services are not checked where none are listed
    Given the configuration with Services as absent
    When it is checked
    Then the exit code is 0 and it prints "nothing found"

  Scenario Outline: a file that is <content> cannot be read
    Given a configuration file that is <content>
    When it is checked
    Then the exit code is 2 and it prints "error: $"

    Examples:
      | content            |
      | empty              |
      | not JSON           |
      | not text           |
      | a list             |
      | nested too deeply  |
      | cut off            |

  # Guards against a change that is sent without being seen.
  Scenario Outline: the difference of <place> as <value> from the version in force is named
    Given the configuration with <place> as <value>
    And version 6 of the configuration in force
    When it is checked against the version in force
    Then the exit code is 0 and it prints "<found>"
    And no key is printed

    Examples:
      | place                | value           | found                                                               |
      | Version              | 7               | nothing found                                                       |
      | Routes.0.TimeoutMs   | 8000            | change: $.Routes[0].TimeoutMs: 'replies': 9000.0 becomes 8000.0     |
      | Routes.0.Priority    | 2               | change: $.Routes[0].Priority: 'replies': 0 becomes 2                |
      | Limits.IdleTimeoutMs | 20000           | change: $.Limits.IdleTimeoutMs: 'limits': 30000.0 becomes 20000.0   |
      | Tenants.1.Name       | "divers"        | change: $.Tenants[1]: 'divers' is added                             |
      | Tenants.1.Name       | "divers"        | change: $.Tenants[1]: 'waders' is removed                           |
      | Tenants.1.Name       | KEY             | change: $.Tenants[1]: '(key)' is added                              |
      | Tenants.0.ApiKeys    | ["sk-new"]      | change: $.Tenants[0].ApiKeys: 'amphibians': 1 keys are added, 1 are |
      | Tenants.0.Burst      | 6               | change: $.Tenants[0].Burst: 'amphibians': 5.0 becomes 6.0           |
      | Services.0.Zone      | "south"         | change: $.Services[0].Zone: 'puddles': None becomes 'south'         |

  Scenario Outline: version <offered> does not rise above version 7
    Given the configuration with <place> as <value>
    And version 7 of the configuration in force
    When it is checked against the version in force
    Then the exit code is <code> and it prints "$.Version: version <offered> is not above 7"

    Examples:
      | place              | value | offered | code |
      | Version            | 6     | 6       | 2    |
      | Routes.0.TimeoutMs | 8000  | 7       | 2    |
      | Version            | 7     | 7       | 1    |

  Scenario: a version in force that cannot be read is an error
    Given the configuration
    And a file that is no configuration in force
    When it is checked against the version in force
    Then the exit code is 2 and it prints "version in force: "

  Scenario: findings are printed as JSON
    Given the configuration with Tenants.1.ApiKeys.1 as KEY
    When it is checked with output as JSON
    Then the exit code is 2 and the findings have these fields
      | severity | place                    | message                                           |
      | error    | $.Tenants[1].ApiKeys[1]  | team 'waders': is also a key of team 'amphibians' |
    And no key is printed
