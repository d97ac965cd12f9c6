package sprucelanding.runtime.governor;

import java.net.InetSocketAddress;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.runtime.eventloop.EventLoop;

/** The host of the core: performs the core's actions on the loop, at the fronts and in the log. */
final class CoreHost implements GovernorCore.Host {
    // The governor has one logger, whichever of its classes writes a line.
    private static final Logger LOG = LoggerFactory.getLogger(Governor.class);

    /** Receives the core's requests that the governor itself handles. */
    interface Owner extends HealthCheck.ResultListener {
        /** Opens the stream on which discovery sends the endpoint list. */
        void openDiscovery();
    }

    private final EventLoop loop;
    private final Owner owner;
    private final ResourceNaming naming;
    private final EndpointDirectory endpointDirectory;
    private final Map<Front, FrontMetrics> metricsByFront;
    private final InetSocketAddress localAddress;
    private final double healthCheckTimeoutMillis;

    CoreHost(
            EventLoop loop,
            Owner owner,
            ResourceNaming naming,
            EndpointDirectory endpointDirectory,
            Map<Front, FrontMetrics> metricsByFront,
            InetSocketAddress localAddress,
            double healthCheckTimeoutMillis) {
        this.loop = loop;
        this.owner = owner;
        this.naming = naming;
        this.endpointDirectory = endpointDirectory;
        this.metricsByFront = metricsByFront;
        this.localAddress = localAddress;
        this.healthCheckTimeoutMillis = healthCheckTimeoutMillis;
    }

    @Override
    public double now() {
        return EventLoop.nowMillis();
    }

    @Override
    public void schedule(double time, Runnable task) {
        loop.scheduleAt(time, task);
    }

    @Override
    public void send(Object front, ResourceUpdate update) {
        ((Front) front).send(update, naming);
    }

    @Override
    public void closeStream(Object front, ProxyStream stream, boolean busy, String reason) {
        ((Front) front).endStream(stream, busy, reason);
    }

    @Override
    public void startHealthCheck(ListedEndpoint endpoint) {
        new HealthCheck(
                loop,
                endpoint.id(),
                new InetSocketAddress(endpoint.host(), endpoint.port()),
                localAddress,
                healthCheckTimeoutMillis,
                owner);
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        // The controller requests no broadcasts: FleetMember decides what governors exchange.
    }

    @Override
    public void watchEndpointList() {
        owner.openDiscovery();
    }

    @Override
    public void batchAcknowledged(Object front, double latencyMillis) {
        metricsByFront.get((Front) front).recordAcknowledgement(latencyMillis);
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
        endpointDirectory.add(endpoint);
    }

    @Override
    public void log(String text, Object... fields) {
        withFields(LOG.atInfo().setMessage(text), fields).log();
    }

    /** Adds fields, given as alternating names and values, to a log event. */
    static LoggingEventBuilder withFields(LoggingEventBuilder event, Object... fields) {
        LoggingEventBuilder extended = event;
        for (int i = 0; i + 1 < fields.length; i += 2) {
            extended = extended.addKeyValue(fields[i].toString(), fields[i + 1]);
        }
        return extended;
    }

    @Override
    public void decisionFailed(RuntimeException failure) {
        LOG.atError().setMessage("BUG: a decision failed").setCause(failure).log();
    }
}
