/**
 * One governor in service on the operators' platform ({@code serve}).
 *
 * <p>{@link sprucelanding.runtime.server.GovernorServer} reads the configuration and sets up all
 * components. After that, everything runs on one event loop with one thread, and nothing in this
 * package is shared between threads. The {@link sprucelanding.runtime.server.ControllerHost}
 * receives all reports: from clients through the {@link
 * sprucelanding.runtime.server.ConnectionListener}, from discovery through the {@link
 * sprucelanding.runtime.server.DiscoveryWatch}, and from endpoints through the {@link
 * sprucelanding.runtime.server.HealthChecker}. The {@link
 * sprucelanding.runtime.server.DecisionScheduler} runs the controller's decisions at most once a
 * tick. The {@link sprucelanding.runtime.server.OrderForwarder} forwards the resulting orders, and
 * the {@link sprucelanding.runtime.server.UpdateDispatcher} sends each joined proxy its update.
 *
 * <p>A client's connection goes through {@link sprucelanding.runtime.server.LineFramer} (bytes to
 * lines), {@link sprucelanding.runtime.server.MessageFields} and the message records (lines to
 * typed messages) to its session: {@link sprucelanding.runtime.server.HandshakeSession}, {@link
 * sprucelanding.runtime.server.ProxySession} or {@link
 * sprucelanding.runtime.server.CollectorSession}. {@link
 * sprucelanding.runtime.server.ConnectionRegistry} documents the states of a connection, with the
 * owner, the deadline and the end in each state.
 *
 * <p>Names on the wire are constants of the type that they map to. Each log line is an event of
 * {@link sprucelanding.runtime.server.ServerEvent} or of the controller's decisions;
 * docs/platform.md describes all events.
 */
package sprucelanding.runtime.server;
