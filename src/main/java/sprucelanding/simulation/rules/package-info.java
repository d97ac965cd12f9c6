/**
 * Checks the rules of routing from what crossed the sockets. Simulated endpoints, proxies and
 * servers record what they saw in an {@link sprucelanding.simulation.rules.EventTrace}; afterwards
 * {@link sprucelanding.simulation.rules.RuleChecker} replays the trace in order of time. No claim
 * of a governor about itself is taken into account.
 *
 * <p>{@code ObservedFleet} follows what proxies and governors could know at each time; each rule is
 * a class of its own that reads it. Only the trace is shared between threads.
 */
package sprucelanding.simulation.rules;
