Feature: Experiments measure what their names say

  Scenario: occupancy follows from the histories of engines
    Given histories of overlapping requests on an engine of 2 slots
    When their occupancy is worked out
    Then it rises above the slots from 1.0 to 2.5 seconds
    And the slots used between 1 and 2 seconds are 3

  Scenario: an overload measured on an embedded fleet gives a whole report
    When "overload" is measured for 1 seconds on an embedded fleet
    Then the command exits with 0 and its report is valid
    And the report names "x3.share_of_peak, x3.deadline_kept, capacity"
    And every load answered some requests whole

  Scenario: a measurement without a place is refused with its finding
    When "overload" is measured without a place
    Then the measuring command exits with 2

  Scenario: the capacity page comes from a report alone
    Given a report of slopes that is made up
    When the capacity page is made from it
    Then the page gives the sums that follow from the made-up slopes
    And what is over its budget is listed as not fitting
    And a slope that was not measured is named as such

  Scenario: a slope is measured on the real parts at several sizes
    When the size of a notice of demands is measured as a slope
    Then it is a line of at least four sizes with a small error
    And its figures carry the slope and both errors
