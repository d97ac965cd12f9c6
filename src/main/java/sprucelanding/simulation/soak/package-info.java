/**
 * Stands in for the proxies, the discovery service, the endpoints and the network of the platform.
 * The governors are real processes on loopback. The package injects faults that are drawn from a
 * seed, and checks rules on the tables of the proxies. Everything except the governors runs on one
 * event loop. Times are milliseconds on the machine's monotonic clock.
 *
 * <p>{@link sprucelanding.simulation.soak.SoakRunner} runs a {@link
 * sprucelanding.simulation.soak.SoakPlan}; {@code SoakFleet} is the fleet. {@code SoakGovernor} is
 * one governor process with its discovery service and its channel. {@code InvariantChecker} counts
 * violations.
 */
package sprucelanding.simulation.soak;
