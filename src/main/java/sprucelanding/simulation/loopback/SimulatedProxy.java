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
 * A plain proxy: it takes its clients' requests over HTTP and sends each where its tables say
 * ({@link HttpForwarder}); one governor at a time configures the tables ({@link GovernorSession}).
 * It avoids for a while endpoints at which its own attempts failed several times in a row. All
 * calls on its loop.
 */
public final class SimulatedProxy {
    /**
     * How a proxy behaves.
     *
     * @param pick the name of a {@link ProxyTables.Pick}, in lower case
     * @param ejectionThreshold failures in a row after which it avoids an endpoint; 0: never
     * @param ejectionMillis ms for which it avoids the endpoint
     * @param connectTimeoutMillis ms until it gives up to connect to an endpoint
     * @param minReconnectMillis least ms until it connects to another governor
     * @param maxReconnectMillis most ms until then
     * @param incremental whether its xDS stream is incremental or state of the world
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
     * A governor's address, as this proxy connects to it.
     *
     * @param governor its number in the trace
     * @param port on the loopback address
     */
    public record GovernorAddress(int governor, int port) {}

    /** Its number in the trace. */
    public final int number;

    /** The index of its zone. */
    public final int zone;

    /** Whether its xDS stream is incremental. */
    public final boolean incremental;

    private final double expectedRate;
    private final List<String> requestClasses;
    private final EventTrace trace;
    private final HttpForwarder forwarder;
    private final GovernorSession session;

    /** Healthy entries by request class, as recorded last. */
    private final Map<String, Integer> reportedPickable = new HashMap<>();

    private ProxyTables<InetSocketAddress> tables = new ProxyTables<>();

    /**
     * Creates a proxy that has not been started.
     *
     * @param transport runs its xDS connections
     * @param expectedRate requests per second that it expects
     * @param governors in the order in which it connects to them; empty for none
     * @param from where its connections to endpoints come from; null for any
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

    /** From its next connection on it is a device that takes NETCONF edits. */
    public void attachDevice(SimulatedDevice device) {
        session.attachDevice(device);
    }

    /** Starts with static entries of these endpoints, and connects to a governor. */
    public void start(List<InetSocketAddress> staticEndpoints) {
        tables = new ProxyTables<>();
        session.prepareStart();
        staticEndpoints.forEach(
                endpoint ->
                        tables.staticEntries.add(new WeightedEndpoint<>("", endpoint, 1, true)));
        forwarder.start();
        reportedPickable.clear();
        tablesChanged();
        session.connect();
    }

    /** The port at which it takes requests. */
    public int port() {
        return forwarder.port();
    }

    /** Requests per second that it expects. */
    public double expectedRate() {
        return expectedRate;
    }

    /** Messages that it received from governors. */
    public long messages() {
        return session.messages();
    }

    /** Acknowledgements that it sent, rejections included. */
    public long acknowledgements() {
        return session.acknowledgements();
    }

    /** Whether a governor has configured it on the present connection. */
    public boolean joined() {
        return session.joined();
    }

    /** Its process dies. */
    public void crash() {
        session.stop();
        forwarder.closeServer();
        session.disconnect();
        forwarder.closeConnections();
    }

    /** It reaches no governor, and goes on forwarding. */
    public void setIsolated(boolean enabled) {
        session.setIsolated(enabled);
    }

    /** It acknowledges messages so many ms late. */
    public void setResponseDelay(double millis) {
        session.setResponseDelay(millis);
    }

    /** It rejects the next messages. */
    public void rejectNext(int messages) {
        session.rejectNext(messages);
    }

    /** While reads are paused, it reads nothing from its governor. */
    public void setReadsPaused(boolean enabled) {
        session.setReadsPaused(enabled);
    }

    /** Its stream breaks; it connects to another governor. */
    public void reconnect() {
        session.reconnect();
    }

    private void tablesChanged() {
        for (int requestClass = 0; requestClass < requestClasses.size(); requestClass++) {
            int pickable = tables.pickableCount(requestClasses.get(requestClass));
            Integer previous = reportedPickable.put(requestClasses.get(requestClass), pickable);
            if (previous == null || previous == 0 != (pickable == 0)) {
                trace.record(
                        new TraceEvent.TableChanged(
                                EventLoop.nowMillis(), number, requestClass, pickable));
            }
        }
        if (!tables.routes.isEmpty()) {
            forwarder.closeUnlistedConnections();
        }
    }
}
