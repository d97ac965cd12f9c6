/**
 * Decides, from captures of a service, what its fleet was like: the demand, the capacity of each
 * endpoint, when endpoints were slow, failing or down, when zones were partitioned and governors
 * stood still, and how sure that is.
 *
 * <p>{@link sprucelanding.replay.estimate.FleetEstimator} is what a host calls; the result is an
 * {@link sprucelanding.replay.estimate.EstimatedFleet}. No I/O, no clock and no threads. Times are
 * milliseconds: on the governors' clock while events are taken in, since the first request in the
 * result.
 */
package sprucelanding.replay.estimate;
