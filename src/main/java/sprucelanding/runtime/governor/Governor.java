package sprucelanding.runtime.governor;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.control.membership.FleetMember;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The core on its loop: what fronts, the roster and probes bring becomes steps there, and each
 * round of the loop ends with one settling of Round. Open it with build, add fronts, then start.
 */
public final class Governor implements CoreHandle, ResourceNaming {
    private static final Logger LOG = LoggerFactory.getLogger(Governor.class);
    private static final int MAX_PROXIES = 65_535;
    private static final double METRICS_INTERVAL_MILLIS =
            10_000; // ms between lines with the figures

    /** Names of the site, by position. */
    public record SiteNames(List<String> requestClasses, List<String> zones, List<String> kinds) {}

    /**
     * How the list comes: where it is told, the own address to dial from (or null), and whether it
     * comes unasked.
     */
    public record DiscoverySettings(
            InetSocketAddress address,
            InetSocketAddress localAddress,
            boolean pushed,
            Path cacheFile) {}

    /** Probes: whether they are allowed, and ms until one counts as unanswered. */
    public record HealthCheckSettings(boolean allowed, double timeoutMillis) {}

    private final EventLoop loop = new EventLoop("core");
    private final SiteNames siteNames;
    private final SharedGovernorCore sharedCore;
    private final GovernorCore core;
    private final DiscoverySettings discoverySettings;
    private final HealthCheckSettings healthCheckSettings;
    private final boolean admitsByRate;
    private final EndpointListFile endpointListFile;
    private final DiscoveryLink discoveryLink;
    private final List<Front> fronts = new ArrayList<>();
    private final PeerSettings peerSettings;
    private PeerLink peerLink;
    private final ProxyIds proxyIds = new ProxyIds(MAX_PROXIES);
    private final Map<Long, ListedEndpoint> endpointsById = new ConcurrentHashMap<>();
    private final Map<String, Long> idsByAddress = new ConcurrentHashMap<>();
    private final Map<Front, FrontMetrics> metricsByFront = new LinkedHashMap<>();
    private Thread thread;

    /**
     * The other governors, by number: where they are told, where they tell, what signs that, and
     * what lasts.
     */
    public record PeerSettings(
            FleetMember fleetMember,
            InetSocketAddress localAddress,
            Map<Integer, InetSocketAddress> addressesByGovernor,
            PeerKeys peerKeys,
            GenerationFile incarnationFile) {}

    /**
     * @param fellows null: it is alone
     * @param core makes it on the host that it is given
     */
    public Governor(
            SiteNames siteNames,
            DiscoverySettings discoverySettings,
            HealthCheckSettings healthCheckSettings,
            boolean admitsByRate,
            PeerSettings peerSettings,
            Function<GovernorCore.Host, GovernorCore> coreFactory) {
        this.siteNames = siteNames;
        this.discoverySettings = discoverySettings;
        this.healthCheckSettings = healthCheckSettings;
        this.admitsByRate = admitsByRate;
        this.peerSettings = peerSettings;
        this.sharedCore =
                new SharedGovernorCore(
                        new CoreHost(),
                        (recipient, message) -> peerLink.send(recipient, message),
                        peerSettings == null ? null : peerSettings.fleetMember(),
                        siteNames.zones()::indexOf,
                        coreFactory);
        this.core = sharedCore.core();
        this.endpointListFile =
                discoverySettings.cacheFile() == null
                        ? null
                        : new EndpointListFile(discoverySettings.cacheFile());
        this.discoveryLink =
                new DiscoveryLink(
                        loop,
                        discoverySettings.address(),
                        discoverySettings.localAddress(),
                        new DiscoveryLink.EventListener() {
                            @Override
                            public void streamOpened() {
                                core.discoveryConnected();
                            }

                            @Override
                            public void eventReceived(String eventData) {
                                if (!core.endpointListReceived(eventData)) {
                                    reconnectDiscovery(); // the roster then tells all of it
                                } else if (endpointListFile != null) {
                                    endpointListFile.store(core.endpointListText());
                                }
                            }

                            @Override
                            public void streamBroken(String reason) {
                                core.discoveryFailed(reason, discoverySettings.pushed());
                            }
                        });
    }

    private void reconnectDiscovery() {
        discoveryLink.reconnect();
    }

    /** Before start. */
    public void addFront(Front front) {
        fronts.add(front);
        metricsByFront.put(front, new FrontMetrics());
    }

    /**
     * @param every ms between the sums that Choice is told
     */
    public void start(double reportIntervalMillis) {
        thread = new Thread(loop, "core");
        loop.afterEachRound(sharedCore::processBatch);
        if (peerSettings != null) {
            peerLink =
                    new PeerLink(
                            loop,
                            peerSettings.localAddress(),
                            peerSettings.addressesByGovernor(),
                            peerSettings.peerKeys(),
                            peerSettings.incarnationFile(),
                            sharedCore::peerMessageReceived,
                            sharedCore::peerMessageRejected,
                            sharedCore::highestEpoch);
        }
        sharedCore.start(
                endpointListFile == null ? null : endpointListFile.read(),
                discoverySettings.pushed(),
                reportIntervalMillis);
        loop.scheduleWithFixedDelay(METRICS_INTERVAL_MILLIS, this::logMetrics);
        thread.start();
    }

    private static LoggingEventBuilder log(String text) {
        return LOG.atInfo().setMessage(text);
    }

    // Fronts: each call becomes a step on the loop.

    @Override
    public boolean proxyConnected(
            Front front,
            ProxyStream stream,
            String zone,
            double expectedRate,
            boolean withoutTables) {
        return loop.tryExecute(
                () ->
                        sharedCore.proxyConnected(
                                front,
                                stream,
                                proxyIds.nameOf(stream.proxyId),
                                zone,
                                expectedRate,
                                withoutTables));
    }

    @Override
    public boolean resourcesHeld(ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(() -> core.heldVersionsReported(stream, versions));
    }

    @Override
    public boolean proxyDisconnected(ProxyStream stream) {
        return loop.tryExecute(() -> sharedCore.proxyDisconnected(stream));
    }

    @Override
    public boolean allResourcesHeld(ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(() -> core.fullStateRead(stream, versions));
    }

    @Override
    public boolean subscriptionChanged(
            ProxyStream stream, ResourceType kind, int table, boolean subscribed) {
        return loop.tryExecute(() -> core.subscriptionChanged(stream, kind, table, subscribed));
    }

    @Override
    public boolean updateAnswered(ProxyStream stream, long updateNumber, String rejection) {
        return loop.tryExecute(() -> core.updateAnswered(stream, updateNumber, rejection));
    }

    @Override
    public boolean loadReported(LoadReport report) {
        return loop.tryExecute(() -> core.loadReported(report));
    }

    @Override
    public boolean isFleetShared() {
        return peerSettings != null;
    }

    @Override
    public int proxyId(String proxy) {
        return proxyIds.idOf(proxy);
    }

    @Override
    public void updateWritten(Front front, ResourceUpdate update, double writtenAt, long bytes) {
        metricsByFront
                .get(front)
                .recordWrite(writtenAt - update.sentAt, bytes, update.entryCount());
    }

    @Override
    public List<String> requestClassNames() {
        return siteNames.requestClasses();
    }

    @Override
    public ListedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    @Override
    public long endpointIdAt(String host, int port) {
        return idsByAddress.getOrDefault(host + ":" + port, 0L);
    }

    @Override
    public boolean admitsByRate() {
        return admitsByRate;
    }

    /** A line with the figures since the last one, and one for each front. */
    private void logMetrics() {
        LoggingEventBuilder event =
                withFields(withFields(log("figures"), core.metrics()), sharedCore.metrics());
        (peerLink == null ? event : withFields(event, peerLink.takeMetrics())).log();
        metricsByFront.forEach(
                (front, metrics) ->
                        metrics.addTo(log("front").addKeyValue("front", front.name())).log());
    }

    private static LoggingEventBuilder withFields(LoggingEventBuilder event, Object... fields) {
        LoggingEventBuilder extended = event;
        for (int i = 0; i + 1 < fields.length; i += 2) {
            extended = extended.addKeyValue(fields[i].toString(), fields[i + 1]);
        }
        return extended;
    }

    /** Runs a step on the core's thread; false if the core is full. */
    public boolean submit(Runnable task) {
        return loop.tryExecute(task);
    }

    /**
     * Planned: sends its proxies on to the others; true once all have gone, false if that took
     * longer than ms.
     */
    public boolean drain(double timeoutMillis) {
        CountDownLatch drained = new CountDownLatch(1);
        try {
            return loop.tryExecute(() -> sharedCore.drain(drained::countDown))
                    && drained.await((long) timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    public void close() {
        loop.close();
        if (peerLink != null) {
            peerLink.close();
        }
        fronts.forEach(Front::close);
        if (endpointListFile != null) {
            endpointListFile.close();
        }
    }

    /** What the core asks of the loop and of the fronts. */
    private final class CoreHost implements GovernorCore.Host, HealthCheck.ResultListener {
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
            ((Front) front).send(update, Governor.this);
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
                    discoverySettings.localAddress(),
                    healthCheckSettings.timeoutMillis(),
                    this);
        }

        @Override
        public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
            core.healthCheckCompleted(endpointId, result, load);
        }

        @Override
        public void broadcastToPeers(byte[] message) {
            // Choice asks for none; what governors tell each other is the sharing's
        }

        @Override
        public void watchEndpointList() {
            discoveryLink.open();
        }

        @Override
        public void batchAcknowledged(Object front, double latencyMillis) {
            metricsByFront.get((Front) front).recordAcknowledgement(latencyMillis);
        }

        @Override
        public void endpointListed(ListedEndpoint endpoint) {
            endpointsById.put(endpoint.id(), endpoint);
            idsByAddress.put(endpoint.host() + ":" + endpoint.port(), endpoint.id());
        }

        @Override
        public void log(String text, Object... fields) {
            withFields(Governor.log(text), fields).log();
        }

        @Override
        public void decisionFailed(RuntimeException e) {
            LOG.atError().setMessage("BUG: a decision failed").setCause(e).log();
        }
    }
}
