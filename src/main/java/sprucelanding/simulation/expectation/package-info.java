/**
 * Checks the rules that staff write beside their configuration: runs the governor's own core in
 * virtual time, with the reports that a fleet would send if traffic followed its tables, without
 * any request. No I/O but the reading of files.
 *
 * <p>{@link sprucelanding.simulation.expectation.ExpectationChecker} plays sequences of events in a
 * {@code TrafficFlow} and evaluates each {@code Condition} on its tables.
 */
package sprucelanding.simulation.expectation;
