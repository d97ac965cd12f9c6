/**
 * One governor in service on the operators' platform ({@code serve}).
 *
 * <p>{@link sprucelanding.runtime.server.GovernorServer} reads the configuration and sets all up;
 * after that one event loop, on one thread, carries everything, and nothing in this package is
 * shared between threads. What is reported comes to the {@link
 * sprucelanding.runtime.server.ControllerHost}: by clients over {@link
 * sprucelanding.runtime.server.ConnectionListener}, by discovery over {@link
 * sprucelanding.runtime.server.DiscoveryWatch}, by endpoints over {@link
 * sprucelanding.runtime.server.HealthChecker}. The {@link
 * sprucelanding.runtime.server.DecisionScheduler} has the controller decide at most once a tick,
 * the {@link sprucelanding.runtime.server.OrderForwarder} passes its orders on, and the {@link
 * sprucelanding.runtime.server.UpdateDispatcher} writes each joined proxy what follows from them.
 *
 * <p>A client's connection goes through {@link sprucelanding.runtime.server.LineFramer} (bytes to
 * lines), {@link sprucelanding.runtime.server.MessageFields} and the message records (lines to
 * typed messages) to its session: {@link sprucelanding.runtime.server.HandshakeSession}, {@link
 * sprucelanding.runtime.server.ProxySession} or {@link
 * sprucelanding.runtime.server.CollectorSession}. Its owner, its deadline and its end can be read
 * in one place, {@link sprucelanding.runtime.server.ConnectionRegistry}, which has the table of its
 * states.
 *
 * <p>Words of the wire are constants of the type that they map to. All that is logged is an event
 * of {@link sprucelanding.runtime.server.ServerEvent} or of the decisions; docs/platform.md
 * explains each.
 */
package sprucelanding.runtime.server;
