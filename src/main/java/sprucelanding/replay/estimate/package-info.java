/**
 * Decides, from captures of a fleet, what its demand was, what capacity each endpoint had and how
 * certain that capacity is, when endpoints were slow, silent, failing or down, when zones were
 * partitioned, and when governors were paused or not running.
 *
 * <p>{@link sprucelanding.replay.estimate.FleetEstimator} is the entry point; its result is an
 * {@link sprucelanding.replay.estimate.EstimatedFleet}. The package does no I/O, reads no clock and
 * starts no threads. Times are milliseconds: on the governors' clock in the events, and since the
 * first request in the result.
 */
package sprucelanding.replay.estimate;
