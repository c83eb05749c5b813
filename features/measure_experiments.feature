Feature: Experiments, slopes and the capacity page

  Scenario: slot occupancy is computed from the histories of engines
    Given histories of overlapping requests on an engine of 2 slots
    When their occupancy is computed
    Then more requests than slots run from 1.0 to 2.5 seconds
    And the slot time used between 1 and 2 seconds is 3 seconds

  Scenario: the overload experiment writes a complete report
    When "overload" is measured for 1 seconds on an embedded fleet
    Then the command exits with 0 and its report is valid
    And the report has the figures "x3.share_of_peak, x3.deadline_kept, capacity"
    And every load answered some requests whole

  Scenario: a measurement without a target is refused
    When "overload" is measured without a target
    Then the measure command exits with 2 and asks for a target

  Scenario: the capacity page is generated from a report of slopes
    Given a made-up report of slopes
    When the capacity page is made from it
    Then the page shows the sums computed from these slopes
    And a cost over its budget is listed as not fitting
    And a slope missing from the report is shown as not measured

  Scenario: a slope is measured at several sizes
    When the size of a notice is measured by its number of demands
    Then the line is fitted to at least four sizes with a small error
    And its figures are slope, intercept and their errors

  Scenario: a count that a host announces costs the same in a large fleet
    When the time to record such a count is measured in a small and a large fleet
    Then it takes at most twice as long in the large one
