package sprucelanding.simulation.loopback;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.WeightedEndpoint;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A plain proxy. The proxy accepts requests of its clients over HTTP, and sends each request to an
 * endpoint that its tables select ({@link HttpForwarder}). One governor at a time configures the
 * tables ({@link GovernorSession}). The proxy temporarily avoids endpoints at which its own
 * attempts failed several times in a row. All calls must be made on the proxy's event loop.
 */
public final class SimulatedProxy {
    /**
     * The settings of a proxy's behaviour.
     *
     * @param pick the name of a {@link ProxyTables.Pick}, in lower case
     * @param ejectionThreshold the consecutive failures after which the proxy avoids an endpoint; 0
     *     for never
     * @param ejectionMillis the time for which the proxy avoids the endpoint
     * @param connectTimeoutMillis the time after which a connection attempt to an endpoint is
     *     abandoned
     * @param minReconnectMillis the shortest delay before the proxy connects to another governor
     * @param maxReconnectMillis the longest delay before the proxy connects to another governor
     * @param incremental whether the xDS stream uses the incremental variant rather than state of
     *     the world
     */
    public record ProxyOptions(
            String pick,
            int ejectionThreshold,
            double ejectionMillis,
            double connectTimeoutMillis,
            double minReconnectMillis,
            double maxReconnectMillis,
            boolean incremental) {}

    /**
     * The address that a proxy uses to connect to a governor.
     *
     * @param governor the number of the governor in the trace
     * @param port the port on the loopback address
     */
    public record GovernorAddress(int governor, int port) {}

    /** The number of the proxy in the trace. */
    public final int number;

    /** The index of the proxy's zone. */
    public final int zone;

    /** Whether the xDS stream uses the incremental variant. */
    public final boolean incremental;

    private final double expectedRate;
    private final List<String> requestClasses;
    private final EventTrace trace;
    private final HttpForwarder forwarder;
    private final GovernorSession session;

    /** The number of healthy entries by request class, as last recorded in the trace. */
    private final Map<String, Integer> recordedPickableCounts = new HashMap<>();

    private ProxyTables<InetSocketAddress> tables = new ProxyTables<>();

    /**
     * Creates a proxy that has not been started.
     *
     * @param transport the threads that run the xDS connections
     * @param expectedRate the requests per second that the proxy expects
     * @param governors the governors in the order in which the proxy connects to them; may be empty
     * @param from the address to connect to endpoints from; null for any
     */
    public SimulatedProxy(
            EventLoop loop,
            NioEventLoopGroup transport,
            int number,
            int zone,
            String zoneName,
            double expectedRate,
            List<String> requestClasses,
            List<GovernorAddress> governors,
            ProxyOptions options,
            InetSocketAddress from,
            EventTrace trace,
            long seed) {
        this.number = number;
        this.zone = zone;
        this.incremental = options.incremental;
        this.expectedRate = expectedRate;
        this.requestClasses = requestClasses;
        this.trace = trace;
        String name = "proxy-" + number;
        ProxyContext context =
                new ProxyContext(
                        loop,
                        new ProxyContext.Identity(number, name, zoneName, expectedRate),
                        options,
                        new SplittableRandom(seed),
                        new LoadReportClient(
                                loop, XdsClient.node(name, zoneName, expectedRate), requestClasses),
                        () -> tables);
        this.forwarder = new HttpForwarder(context, requestClasses, from);
        this.session =
                new GovernorSession(context, transport, governors, trace, this::tablesChanged);
    }

    /** Makes the proxy a device, which is configured by NETCONF from its next connection on. */
    public void attachDevice(SimulatedDevice device) {
        session.attachDevice(device);
    }

    /** Starts the proxy with static entries for these endpoints, and connects to a governor. */
    public void start(List<InetSocketAddress> staticEndpoints) {
        tables = new ProxyTables<>();
        session.prepareStart();
        staticEndpoints.forEach(
                endpoint ->
                        tables.staticEntries.add(new WeightedEndpoint<>("", endpoint, 1, true)));
        forwarder.start();
        recordedPickableCounts.clear();
        tablesChanged();
        session.connect();
    }

    /** Returns the port that the proxy accepts requests on. */
    public int port() {
        return forwarder.port();
    }

    /** Returns the requests per second that the proxy expects. */
    public double expectedRate() {
        return expectedRate;
    }

    /** Returns the number of messages that the proxy received from governors. */
    public long messages() {
        return session.messageCount();
    }

    /** Returns the number of acknowledgements that the proxy sent, including rejections. */
    public long acknowledgements() {
        return session.acknowledgementCount();
    }

    /** Returns whether a governor has configured the proxy on the current connection. */
    public boolean hasJoined() {
        return session.hasJoined();
    }

    /** Ends the proxy's process: all its connections are closed. */
    public void crash() {
        session.stop();
        forwarder.closeServer();
        session.disconnect();
        forwarder.closeConnections();
    }

    /**
     * Isolates the proxy from all governors, or ends the isolation. An isolated proxy continues to
     * forward requests.
     */
    public void setIsolated(boolean enabled) {
        session.setIsolated(enabled);
    }

    /** Delays acknowledgements and rejections by this time in ms. */
    public void setResponseDelay(double millis) {
        session.setResponseDelay(millis);
    }

    /** Rejects this many of the next messages. */
    public void rejectNext(int messages) {
        session.rejectNext(messages);
    }

    /** Pauses or resumes reading from the governor. */
    public void setReadsPaused(boolean enabled) {
        session.setReadsPaused(enabled);
    }

    /** Breaks the channel, and connects to another governor after a random delay. */
    public void reconnect() {
        session.reconnect();
    }

    private void tablesChanged() {
        for (int requestClass = 0; requestClass < requestClasses.size(); requestClass++) {
            int pickableCount = tables.healthyEntryCount(requestClasses.get(requestClass));
            Integer previous =
                    recordedPickableCounts.put(requestClasses.get(requestClass), pickableCount);
            if (previous == null || previous == 0 != (pickableCount == 0)) {
                trace.record(
                        new TraceEvent.TableChanged(
                                EventLoop.nowMillis(), number, requestClass, pickableCount));
            }
        }
        if (!tables.routes.isEmpty()) {
            forwarder.closeUnlistedConnections();
        }
    }
}
