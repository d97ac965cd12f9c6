/**
 * Decides what one governor sends to its proxies: weights, ejections, tables, admissions, and the
 * order in which these are sent within the limits of the channel. A host calls {@link
 * sprucelanding.control.decision.RoutingController}.
 *
 * <p>The classes of this package perform no I/O, read no clock and start no threads. The host
 * supplies the time with each event. All random numbers are drawn from one seeded source, so that
 * the same events lead to the same decisions to the last bit. Proxies and endpoints are identified
 * by numbers that the host assigns. Times are milliseconds on the host's monotonic clock.
 *
 * <p>{@link sprucelanding.control.decision.RoutingController} defines the order of the steps:
 *
 * <ul>
 *   <li>{@code EndpointRegistry}, {@code ProxyRegistry}, {@code RoutingTables}: current state
 *   <li>{@code LoadEstimator}: load and speed of the endpoints
 *   <li>{@code WeightPolicy}: weights
 *   <li>{@code OutlierDetector}: ejections and restorations
 *   <li>{@code SubsetAllocator}, {@code StarterTables}: tables with few endpoints
 *   <li>{@code AdmissionController}: admission levels
 *   <li>{@code WarmUpLimiter}, {@code TableLoadEstimator}: limits that protect warming endpoints
 *   <li>{@code DrainTracker}: removals that proxies have not acknowledged yet
 *   <li>{@code ChannelBudget}, {@code MessagePacing}, {@code HeldUpdates}: capacity of the channel
 *       to the proxies and the messages that each may be sent
 *   <li>{@code StateUpdater}: update of the state above, in the right order
 *   <li>{@code OutputScheduler}: choice of the next order; uses the other schedulers
 * </ul>
 */
package sprucelanding.control.decision;
