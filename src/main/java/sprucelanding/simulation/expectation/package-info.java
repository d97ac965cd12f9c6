/**
 * Checks the rules that operators write next to their configuration. The production core of the
 * governor runs in virtual time, and receives the reports that a fleet would send if its traffic
 * followed the tables. No single requests are simulated. The package does no I/O except reading
 * files.
 *
 * <p>{@link sprucelanding.simulation.expectation.ExpectationChecker} plays sequences of events in a
 * {@code TrafficFlow} and evaluates each {@code Condition} on its tables.
 */
package sprucelanding.simulation.expectation;
