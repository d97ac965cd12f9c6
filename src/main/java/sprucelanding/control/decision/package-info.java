/**
 * Decides what one governor sends to its proxies: weights, ejections, tables, admission, and the
 * order of all that within the channel's limits. {@link
 * sprucelanding.control.decision.RoutingController} is what a host calls; it lists the modules.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: the host tells the time with each
 * event, and draws all random numbers from one seeded source, so that the same events give the same
 * decisions to the last bit. Proxies and endpoints are identified by the host's numbers. Times are
 * milliseconds on the host's monotonic clock.
 */
package sprucelanding.control.decision;
