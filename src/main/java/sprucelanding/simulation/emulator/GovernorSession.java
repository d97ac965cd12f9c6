package sprucelanding.simulation.emulator;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Connection of a proxy to one governor at a time. Connects, subscribes, acknowledges updates,
 * reports the proxy's load, and reconnects to the next governor when the stream breaks. Faults can
 * reject updates, and delay or drop the proxy's responses.
 */
final class GovernorSession {
    private static final double MIN_RECONNECT_MILLIS = 100;
    private static final double MAX_RECONNECT_MILLIS = 1500;

    /** Interval between the load notifications of a device. */
    private static final double NOTIFICATION_MILLIS = 1000;

    /** Additional time until a device's commit of an edit is confirmed. */
    private static final double EDIT_COMMIT_MILLIS = 6;

    /** Time after which a governor reads the state of a device that does not reply. */
    private static final double RESPONSE_TIMEOUT_MILLIS = 3000;

    private final EmulatedFleet fleet;
    private final EmulatedProxy proxy;
    private final ProxyStream.UpdateMode updateMode;
    private final List<EmulatedGovernor> governors;
    private final ProxyConfiguration configuration;
    private final ProxyLoadStats loadStats;
    private final SplittableRandom reconnectRandom;
    private EmulatedStream stream;

    /**
     * Number of disconnections so far. A scheduled reconnect is stale if this number has changed.
     */
    private int disconnectCount;

    private int governorIndex;
    private boolean isolated;
    private boolean joined;
    private boolean readsPaused;
    private double responseDelayMillis;
    private int messagesToReject;
    private int responsesToDrop;

    GovernorSession(
            EmulatedFleet fleet,
            EmulatedProxy proxy,
            ProxyStream.UpdateMode updateMode,
            List<EmulatedGovernor> governors,
            ProxyConfiguration configuration,
            ProxyLoadStats loadStats,
            long seed) {
        this.fleet = fleet;
        this.proxy = proxy;
        this.updateMode = updateMode;
        this.governors = governors;
        this.configuration = configuration;
        this.loadStats = loadStats;
        this.reconnectRandom = new SplittableRandom(seed);
    }

    private boolean isDevice() {
        return updateMode == ProxyStream.UpdateMode.TRANSACTIONAL;
    }

    // Faults.

    void setIsolated(boolean enabled) {
        isolated = enabled;
        if (enabled) {
            disconnect();
            scheduleReconnect();
        }
    }

    void rejectNext(int messages) {
        messagesToReject = messages;
    }

    void dropResponses(int responses) {
        responsesToDrop = responses;
    }

    void setResponseDelay(double millis) {
        responseDelayMillis = millis;
    }

    void setReadsPaused(boolean enabled) {
        fleet.record(new TraceEvent.ReadingChanged(fleet.clock.now(), proxy.number, !enabled));
        readsPaused = enabled;
        if (!enabled && stream != null) {
            stream.flush();
        }
    }

    boolean readsPaused() {
        return readsPaused;
    }

    /**
     * Changes the configuration of a device as another NETCONF client would. The device reports the
     * change.
     */
    void driftConfiguration() {
        if (isDevice() && stream != null) {
            configuration.addForeignEntry();
            Map<ResourceName, String> versions = Map.copyOf(configuration.copyVersions());
            stream.sendToGovernor(core -> core.core().fullStateRead(stream.proxyStream, versions));
        }
    }

    // Connections.

    void connect() {
        if (governors.isEmpty()) {
            return;
        }
        if (isolated) {
            scheduleReconnect();
            return;
        }
        EmulatedGovernor governor = governors.get(governorIndex % governors.size());
        EmulatedStream current = new EmulatedStream(fleet, proxy, this, governor, updateMode);
        stream = current;
        boolean withoutTables = configuration.isWithoutTables();
        Map<ResourceName, String> versions = configuration.copyVersions();
        current.open(core -> join(core, current, withoutTables, versions));
        loadStats.startInterval(fleet.clock.now());
        scheduleReport(current);
    }

    /**
     * Registers the proxy and its subscriptions with the governor once the stream is open. Runs in
     * the governor.
     */
    private void join(
            SharedGovernorCore sharedCore,
            EmulatedStream current,
            boolean withoutTables,
            Map<ResourceName, String> versions) {
        GovernorCore core = sharedCore.core();
        sharedCore.proxyConnected(
                current,
                current.proxyStream,
                "proxy-" + proxy.number,
                fleet.zones.get(proxy.zone),
                proxy.expectedRate,
                withoutTables);
        if (updateMode == ProxyStream.UpdateMode.INCREMENTAL) {
            core.initialVersionsReported(current.proxyStream, versions);
        }
        core.subscriptionChanged(current.proxyStream, ResourceType.CLUSTER, 0, true);
        core.subscriptionChanged(current.proxyStream, ResourceType.ROUTE, 0, true);
        if (isDevice()) {
            core.subscriptionChanged(current.proxyStream, ResourceType.ENDPOINTS, 0, true);
            core.subscriptionChanged(current.proxyStream, ResourceType.LINE, 0, true);
            core.fullStateRead(current.proxyStream, versions);
            return;
        }
        for (ResourceName name : versions.keySet()) {
            if (name.type() == ResourceType.CLUSTER) {
                core.subscriptionChanged(
                        current.proxyStream, ResourceType.ENDPOINTS, name.table(), true);
                if (updateMode == ProxyStream.UpdateMode.INCREMENTAL) {
                    core.subscriptionChanged(
                            current.proxyStream, ResourceType.LINE, name.table(), true);
                }
            }
        }
    }

    void disconnect() {
        if (joined) {
            joined = false;
            fleet.record(new TraceEvent.ProxyLeft(fleet.clock.now(), proxy.number));
        }
        disconnectCount++;
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    private void scheduleReconnect() {
        int scheduledDisconnectCount = disconnectCount;
        fleet.clock.scheduleAfter(
                MIN_RECONNECT_MILLIS
                        + reconnectRandom.nextDouble()
                                * (MAX_RECONNECT_MILLIS - MIN_RECONNECT_MILLIS),
                () -> {
                    if (scheduledDisconnectCount == disconnectCount && !proxy.isStopped()) {
                        connect();
                    }
                });
    }

    /**
     * Called when a stream breaks or cannot be opened. Schedules a reconnect to the next governor
     * if the broken stream is the current stream.
     */
    void onStreamBroken(EmulatedStream broken) {
        if (broken == stream) {
            disconnect();
            governorIndex++;
            scheduleReconnect();
        }
    }

    private void scheduleReport(EmulatedStream current) {
        fleet.clock.scheduleAfter(
                isDevice() ? NOTIFICATION_MILLIS : current.governor.reportIntervalMillis(),
                () -> {
                    if (current == stream) {
                        LoadReport report = loadStats.takeReport(proxy.number, fleet.clock.now());
                        current.sendToGovernor(core -> core.core().loadReported(report));
                        scheduleReport(current);
                    }
                });
    }

    // Updates.

    /** Processes a message that the proxy reads from its current stream. */
    void onMessage(EmulatedStream current, ResourceUpdate message, String controlPlaneId) {
        if (current != stream) {
            return;
        }
        if (!joined) {
            joined = true;
            fleet.record(
                    new TraceEvent.ProxyJoined(
                            fleet.clock.now(), proxy.number, current.governor.number));
        }
        boolean rejected =
                messagesToReject > 0
                        && (updateMode != ProxyStream.UpdateMode.INCREMENTAL
                                || !message.resources.isEmpty());
        recordMessage(current, message, rejected ? 0 : entryCount(message), controlPlaneId);
        if (rejected) {
            messagesToReject--;
            respond(current, message, "rejected by script");
            return;
        }
        ProxyConfiguration.AppliedUpdate applied = configuration.apply(message);
        proxy.tablesChanged();
        respond(current, message, null);
        current.sendToGovernor(core -> updateSubscriptions(core.core(), current, applied));
    }

    private int entryCount(ResourceUpdate message) {
        return updateMode == ProxyStream.UpdateMode.STATE_OF_THE_WORLD
                ? Math.max(message.entryCount(), message.resources.size())
                : message.resources.size() + message.removedNames.size();
    }

    private void recordMessage(
            EmulatedStream current, ResourceUpdate message, int entries, String controlPlaneId) {
        fleet.record(
                new TraceEvent.MessageRead(
                        fleet.clock.now(),
                        proxy.number,
                        current.governor.number,
                        isDevice() ? "netconf" : "xds",
                        message.type == null ? "edit" : message.type.name(),
                        message.id,
                        entries,
                        controlPlaneId));
    }

    /**
     * Updates the subscriptions according to the resources that an update added or removed. Runs in
     * the governor.
     */
    private void updateSubscriptions(
            GovernorCore core, EmulatedStream current, ProxyConfiguration.AppliedUpdate applied) {
        ProxyStream proxyStream = current.proxyStream;
        for (int table : applied.removedTables()) {
            core.subscriptionChanged(proxyStream, ResourceType.ENDPOINTS, table, false);
            core.subscriptionChanged(proxyStream, ResourceType.LINE, table, false);
        }
        for (int table : applied.assignmentSubscriptions()) {
            core.subscriptionChanged(proxyStream, ResourceType.ENDPOINTS, table, true);
        }
        if (updateMode == ProxyStream.UpdateMode.INCREMENTAL) {
            for (int table : applied.entrySubscriptions()) {
                core.subscriptionChanged(proxyStream, ResourceType.LINE, table, true);
            }
        }
    }

    /**
     * Responds to a message with an acknowledgement or a rejection.
     *
     * @param reason why the message was rejected; null if it was applied
     */
    private void respond(EmulatedStream current, ResourceUpdate message, String reason) {
        if (responsesToDrop > 0 && isDevice()) {
            // the device applied the edit without a reply: the governor reads its state instead
            responsesToDrop--;
            fleet.clock.scheduleAfter(
                    RESPONSE_TIMEOUT_MILLIS, () -> sendUpdateResult(current, message, reason));
            return;
        }
        Runnable send =
                () -> {
                    if (current == stream) {
                        fleet.record(
                                new TraceEvent.MessageAnswered(
                                        fleet.clock.now(),
                                        proxy.number,
                                        message.id,
                                        reason != null));
                        sendUpdateResult(current, message, reason);
                    }
                };
        double delayMillis = responseDelayMillis + (isDevice() ? EDIT_COMMIT_MILLIS : 0);
        if (delayMillis > 0) {
            fleet.clock.scheduleAfter(delayMillis, send);
        } else {
            send.run();
        }
    }

    private static void sendUpdateResult(
            EmulatedStream current, ResourceUpdate message, String reason) {
        current.sendToGovernor(
                core -> core.core().updateResultReceived(current.proxyStream, message.id, reason));
    }
}
