package sprucelanding.runtime.governor;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * A running governor: the core on its event loop. Input from fronts, discovery, health checks and
 * other governors becomes tasks of the loop. Each round of the loop ends with one batch of the
 * core. Add the fronts, then start the governor. Methods of {@link CoreHandle} and {@link
 * ResourceNaming} are safe to call from any thread.
 */
public final class Governor implements CoreHandle, ResourceNaming {
    private static final Logger LOG = LoggerFactory.getLogger(Governor.class);
    private static final int MAX_PROXIES = 65_535;
    private static final double METRICS_INTERVAL_MILLIS = 10_000;
    private static final Object[] NO_FIELDS = {};

    /**
     * Names from the configuration, by index.
     *
     * @param requestClasses names of request classes
     * @param zones names of zones
     * @param kinds names of machine kinds
     */
    public record ConfiguredNames(
            List<String> requestClasses, List<String> zones, List<String> kinds) {}

    /**
     * Settings of endpoint discovery.
     *
     * @param address address of the discovery service
     * @param localAddress local address to connect from; null for any
     * @param pushed whether the service sends the list without a request
     * @param cacheFile file that stores the latest list for a restart; null for none
     */
    public record DiscoverySettings(
            InetSocketAddress address,
            InetSocketAddress localAddress,
            boolean pushed,
            Path cacheFile) {}

    /**
     * Settings of health checks.
     *
     * @param allowed whether the governor may check endpoints itself
     * @param timeoutMillis ms after which a check counts as timed out
     */
    public record HealthCheckSettings(boolean allowed, double timeoutMillis) {}

    private final EventLoop loop = new EventLoop("core");
    private final ConfiguredNames configuredNames;
    private final SharedGovernorCore sharedCore;
    private final GovernorCore core;
    private final DiscoverySettings discoverySettings;
    private final boolean admitsByRate;
    private final EndpointListFile endpointListFile;
    private final DiscoveryLink discoveryLink;
    private final List<Front> fronts = new ArrayList<>();
    private final PeerSettings peerSettings;
    private PeerLink peerLink;
    private final ProxyIds proxyIds = new ProxyIds(MAX_PROXIES);
    private final EndpointDirectory endpointDirectory = new EndpointDirectory();
    private final Map<Front, FrontMetrics> metricsByFront = new LinkedHashMap<>();
    private Thread thread;

    /**
     * Settings for a fleet that is shared with other governors.
     *
     * @param fleetMember this governor's membership in the fleet
     * @param localAddress address that receives datagrams of the other governors
     * @param addressesByGovernor addresses of the other governors, by their number
     * @param peerKeys keys that sign and verify datagrams
     * @param generationFile stores the generation for the next start
     */
    public record PeerSettings(
            FleetMember fleetMember,
            InetSocketAddress localAddress,
            Map<Integer, InetSocketAddress> addressesByGovernor,
            PeerKeys peerKeys,
            GenerationFile generationFile) {}

    /**
     * Creates a governor that is not yet started.
     *
     * @param configuredNames names from the configuration
     * @param discoverySettings settings of endpoint discovery
     * @param healthCheckSettings settings of health checks
     * @param admitsByRate whether proxies admit requests up to a rate; else they admit a share
     * @param peerSettings the other governors; null if there are none
     * @param coreFactory creates the core for a host
     */
    public Governor(
            ConfiguredNames configuredNames,
            DiscoverySettings discoverySettings,
            HealthCheckSettings healthCheckSettings,
            boolean admitsByRate,
            PeerSettings peerSettings,
            Function<GovernorCore.Host, GovernorCore> coreFactory) {
        this.configuredNames = configuredNames;
        this.discoverySettings = discoverySettings;
        this.admitsByRate = admitsByRate;
        this.peerSettings = peerSettings;
        this.sharedCore =
                new SharedGovernorCore(
                        new CoreHost(
                                loop,
                                new HostOwner(),
                                this,
                                endpointDirectory,
                                metricsByFront,
                                discoverySettings.localAddress(),
                                healthCheckSettings.timeoutMillis()),
                        (recipient, message) -> peerLink.send(recipient, message),
                        peerSettings == null ? null : peerSettings.fleetMember(),
                        configuredNames.zones()::indexOf,
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
                        new DiscoveryEvents());
    }

    /** Adds a front. Called before {@link #start}. */
    public void addFront(Front front) {
        fronts.add(front);
        metricsByFront.put(front, new FrontMetrics());
    }

    /**
     * Starts the loop's thread, which ends with {@link #close}.
     *
     * @param reportIntervalMillis ms between the aggregated load reports that the core receives
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
                            peerSettings.generationFile(),
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

    // The methods that fronts call. Each notification becomes a task of the loop.

    @Override
    public boolean proxyConnected(
            Front front,
            ProxyStream stream,
            String zone,
            double expectedRequestsPerSecond,
            boolean withoutTables) {
        return loop.tryExecute(
                () ->
                        sharedCore.proxyConnected(
                                front,
                                stream,
                                proxyIds.nameOf(stream.proxyId),
                                zone,
                                expectedRequestsPerSecond,
                                withoutTables));
    }

    @Override
    public boolean heldResourcesReported(ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(() -> core.initialVersionsReported(stream, versions));
    }

    @Override
    public boolean proxyDisconnected(ProxyStream stream) {
        return loop.tryExecute(() -> sharedCore.proxyDisconnected(stream));
    }

    @Override
    public boolean allHeldResourcesReported(
            ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(() -> core.fullStateRead(stream, versions));
    }

    @Override
    public boolean subscriptionChanged(
            ProxyStream stream, ResourceType type, int table, boolean isSubscribed) {
        return loop.tryExecute(() -> core.subscriptionChanged(stream, type, table, isSubscribed));
    }

    @Override
    public boolean updateResultReceived(ProxyStream stream, long updateId, String rejection) {
        return loop.tryExecute(() -> core.updateResultReceived(stream, updateId, rejection));
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
    public int proxyId(String proxyName) {
        return proxyIds.idOf(proxyName);
    }

    @Override
    public void updateWritten(
            Front front, ResourceUpdate update, double writtenAtMillis, long bytes) {
        metricsByFront
                .get(front)
                .recordWrite(writtenAtMillis - update.sentAt, bytes, update.entryCount());
    }

    @Override
    public List<String> requestClassNames() {
        return configuredNames.requestClasses();
    }

    @Override
    public ListedEndpoint endpoint(long id) {
        return endpointDirectory.endpoint(id);
    }

    @Override
    public long endpointIdAt(String host, int port) {
        return endpointDirectory.idAt(host, port);
    }

    @Override
    public boolean admitsByRate() {
        return admitsByRate;
    }

    /** Logs the metrics since the previous call: one line of the core, and one of each front. */
    private void logMetrics() {
        LoggingEventBuilder event = LOG.atInfo().setMessage("figures");
        event = CoreHost.withFields(event, core.metrics());
        event = CoreHost.withFields(event, sharedCore.metrics());
        Object[] peerFields = peerLink == null ? NO_FIELDS : peerLink.takeMetrics();
        CoreHost.withFields(event, peerFields).log();
        metricsByFront.forEach(this::logFrontMetrics);
    }

    private void logFrontMetrics(Front front, FrontMetrics metrics) {
        metrics.addTo(LOG.atInfo().setMessage("front").addKeyValue("front", front.name())).log();
    }

    /** Runs a task on the core's thread; returns false if the core's queue is full. */
    public boolean submit(Runnable task) {
        return loop.tryExecute(task);
    }

    /**
     * Redirects this governor's proxies to the other governors before a planned stop, and waits
     * until all proxies have left.
     *
     * @return false if the timeout expired, the calling thread was interrupted, or the core's queue
     *     is full
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

    /** Ends the loop, the fronts and the threads that access files. */
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

    /** Handles the core's requests that its host passes to this governor. */
    private final class HostOwner implements CoreHost.Owner {
        @Override
        public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
            core.healthCheckCompleted(endpointId, result, load);
        }

        @Override
        public void openDiscovery() {
            discoveryLink.open();
        }
    }

    /** Passes the events of discovery to the core, and stores the list for a restart. */
    private final class DiscoveryEvents implements DiscoveryLink.EventListener {
        @Override
        public void streamOpened() {
            core.discoveryConnected();
        }

        @Override
        public void eventReceived(String eventData) {
            if (!core.endpointListReceived(eventData)) {
                discoveryLink.reconnect(); // A new stream begins with the complete list.
            } else if (endpointListFile != null) {
                endpointListFile.store(core.endpointListJson());
            }
        }

        @Override
        public void streamBroken(String reason) {
            core.discoveryFailed(reason, discoverySettings.pushed());
        }
    }
}
