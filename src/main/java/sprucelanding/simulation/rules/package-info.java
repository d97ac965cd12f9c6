/**
 * Checks the rules of routing from the traffic on the sockets. Simulated endpoints, proxies and
 * discovery servers record the events that they observe in an {@link
 * sprucelanding.simulation.rules.EventTrace}. Afterwards {@link
 * sprucelanding.simulation.rules.RuleChecker} checks the events in order of time. Statements of a
 * governor about itself are not used.
 *
 * <p>{@code ObservedFleet} holds what proxies and governors could know at the time of each event.
 * Each rule is a separate class that reads {@code ObservedFleet}. Only the trace is shared between
 * threads.
 */
package sprucelanding.simulation.rules;
