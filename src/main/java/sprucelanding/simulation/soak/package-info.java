/**
 * Stands in for the proxies, the discovery service, the endpoints and the network of the platform
 * around real governor processes on loopback, injects faults drawn from a seed, and checks the
 * rules on what the proxies hold. Everything but the governors runs on one event loop. Times are
 * milliseconds on the machine's monotonic clock.
 *
 * <p>{@link sprucelanding.simulation.soak.SoakRunner} runs a {@link
 * sprucelanding.simulation.soak.SoakPlan}; {@code SoakFleet} is the fleet, {@code SoakGovernor} one
 * governor process with its discovery and its channel, and {@code InvariantChecker} counts
 * violations.
 */
package sprucelanding.simulation.soak;
