package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.simulation.model.AdmissionGate;
import sprucelanding.simulation.model.EndpointStats;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A plain proxy: takes its clients' txns, sends each where its tables say, and is told these by one
 * governor at a time.
 */
final class EmulatedProxy {
    /** Told how a txn ended at the proxy. */
    interface ResponseListener {
        void onResponse(int status, boolean notExecuted);
    }

    private static final double CONNECT_TIMEOUT_MILLIS = 250;
    private static final double MIN_RECONNECT_MILLIS = 100;
    private static final double MAX_RECONNECT_MILLIS = 1500;
    private static final Route.RetryMode[] RETRY_MODES = Route.RetryMode.values();

    private final class Request {
        final ResponseListener client;
        final int requestClass;
        final long id;
        final double work;
        final double deadline;
        int attempts;
        EmulatedEndpoint previousEndpoint;

        Request(ResponseListener client, int requestClass, long id, double work, double deadline) {
            this.client = client;
            this.requestClass = requestClass;
            this.id = id;
            this.work = work;
            this.deadline = deadline;
        }

        void startAttempt() {
            double now = fleet.clock.now();
            WeightedEndpoint<EmulatedEndpoint> chosen =
                    tables.pick(
                            fleet.requestClasses.get(requestClass),
                            fleet.pick,
                            entry ->
                                    entry.endpoint == previousEndpoint
                                            || localOutliers.isAvoided(entry.endpoint, now),
                            entry -> openAttempts[entry.endpoint.number],
                            random);
            if (chosen == null || chosen.endpoint == previousEndpoint) {
                client.onResponse(503, true);
                return;
            }
            attempts++;
            new Attempt(this, chosen.endpoint).start();
        }
    }

    private final class Attempt implements EmulatedEndpoint.ResponseListener {
        final Request request;
        final EmulatedEndpoint endpoint;
        final double startedAt = fleet.clock.now();
        final int incarnation;
        VirtualClock.ScheduledTask timeout;
        boolean connected;
        boolean ended;

        Attempt(Request request, EmulatedEndpoint endpoint) {
            this.request = request;
            this.endpoint = endpoint;
            this.incarnation = endpoint.incarnation;
        }

        void start() {
            openAttempts[endpoint.number]++;
            endpointStats(endpoint).attemptStarted();
            double remainingMillis = Math.max(1, request.deadline - startedAt);
            timeout =
                    fleet.clock.scheduleAfter(
                            remainingMillis, () -> complete(0, false, Double.NaN));
            if (idleConnections[endpoint.number] > 0) {
                idleConnections[endpoint.number]--;
                connected = true;
                fleet.clock.scheduleAfter(EmulatedFleet.HOP_MILLIS, this::send);
            } else if (!fleet.isOpen(zone, endpoint.zone)) {
                fleet.clock.scheduleAfter(
                        Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis),
                        () -> complete(0, true, Double.NaN));
            } else {
                fleet.clock.scheduleAfter(2 * EmulatedFleet.HOP_MILLIS, this::connect);
            }
        }

        private void connect() {
            if (ended) {
                return;
            }
            if (!endpoint.isUp()) {
                complete(0, true, Double.NaN);
            } else if (!endpoint.acceptsConnection()) {
                complete(0, false, Double.NaN);
            } else {
                connected = true;
                endpoint.connections++;
                send();
            }
        }

        private void send() {
            if (ended) {
                return;
            }
            endpoint.request(
                    this,
                    number,
                    zone,
                    request.requestClass,
                    request.id,
                    request.attempts,
                    request.work);
        }

        @Override
        public void onResponse(int status, boolean notExecuted, double utilization) {
            if (!ended) {
                idleConnections[endpoint.number]++;
                connected = false; // it is idle now, not this try's
                complete(status, notExecuted, utilization);
            }
        }

        @Override
        public void onConnectionBroken() {
            connected = false;
            complete(0, false, Double.NaN);
        }

        private void complete(int status, boolean notExecuted, double utilization) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            endpoint.removeListener(this);
            if (connected && incarnation == endpoint.incarnation) {
                endpoint.connections--; // closed; its work goes on
            }
            openAttempts[endpoint.number]--;
            double now = fleet.clock.now();
            endpointStats(endpoint).attemptEnded(status == 200, now - startedAt, utilization);
            localOutliers.attemptEnded(endpoint, status == 200, now);
            if (status == 200) {
                request.client.onResponse(200, false);
                return;
            }
            if (Route.shouldRetry(
                    tables.routes.get(fleet.requestClasses.get(request.requestClass)),
                    request.attempts,
                    notExecuted,
                    request.deadline - now)) {
                request.previousEndpoint = endpoint;
                request.startAttempt();
            } else {
                request.client.onResponse(status == 0 ? 504 : status, notExecuted);
            }
        }
    }

    final int number;
    final int zone;
    final double expectedRate;
    private final ProxyStream.UpdateMode form;
    private final EmulatedFleet fleet;
    private final List<EmulatedGovernor> governors;
    private final SplittableRandom random;
    private final SplittableRandom reconnectRandom;
    private ProxyTables<EmulatedEndpoint> tables = new ProxyTables<>();
    private AdmissionGate admissionGate = new AdmissionGate();
    private LocalOutliers<EmulatedEndpoint> localOutliers;
    private final int[] openAttempts;
    private final int[] idleConnections;
    private final EndpointStats[] endpointStats;
    private final long[] arrivals;
    private double reportedAt;
    private final Map<Integer, Integer> reportedPickable = new HashMap<>();

    /** What it holds, by version. */
    private final Map<ResourceName, String> heldVersions = new LinkedHashMap<>();

    private boolean stateAccepted;
    private EmulatedStream stream;
    private int connectionAttempt;
    private int governorIndex;
    private boolean stopped = true;
    private boolean isolated;
    private boolean joined;
    boolean readsPaused;
    double responseDelayMillis;
    private int messagesToReject;
    private int responsesToDrop;

    EmulatedProxy(
            EmulatedFleet fleet,
            int number,
            int zone,
            double expectedRate,
            ProxyStream.UpdateMode form,
            List<EmulatedGovernor> governors,
            long seed) {
        this.fleet = fleet;
        this.number = number;
        this.zone = zone;
        this.expectedRate = expectedRate;
        this.form = form;
        this.governors = governors;
        this.random = new SplittableRandom(seed);
        this.reconnectRandom = new SplittableRandom(seed + 1);
        int endpointCount = fleet.endpoints.size();
        openAttempts = new int[endpointCount];
        idleConnections = new int[endpointCount];
        endpointStats = new EndpointStats[endpointCount];
        arrivals = new long[fleet.requestClasses.size()];
    }

    private EndpointStats endpointStats(EmulatedEndpoint endpoint) {
        EndpointStats stats = endpointStats[endpoint.number];
        if (stats == null) {
            stats = new EndpointStats();
            endpointStats[endpoint.number] = stats;
        }
        return stats;
    }

    void start(List<EmulatedEndpoint> staticEndpoints) {
        stopped = false;
        tables = new ProxyTables<>();
        admissionGate = new AdmissionGate();
        localOutliers = fleet.newLocalOutliers();
        heldVersions.clear();
        stateAccepted = false;
        reportedPickable.clear();
        staticEndpoints.forEach(
                endpoint ->
                        tables.staticEntries.add(new WeightedEndpoint<>("", endpoint, 1, true)));
        tablesChanged();
        connect();
    }

    void crash() {
        stopped = true;
        disconnect();
        for (EmulatedEndpoint endpoint : fleet.endpoints) {
            endpoint.connections -= endpoint.isUp() ? idleConnections[endpoint.number] : 0;
            idleConnections[endpoint.number] = 0;
        }
    }

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

    void setReadsPaused(boolean enabled) {
        fleet.record(new TraceEvent.ReadingChanged(fleet.clock.now(), number, !enabled));
        readsPaused = enabled;
        if (!enabled && stream != null) {
            stream.flush();
        }
    }

    /** Another manager adds a line that nobody asked for; a device tells of it. */
    void driftConfiguration() {
        if (form == ProxyStream.UpdateMode.EDITS && stream != null) {
            heldVersions.put(ResourceName.entry(0, fleet.endpoints.get(0).id), "d1");
            Map<ResourceName, String> versions = Map.copyOf(heldVersions);
            stream.sendToGovernor(core -> core.core().fullStateRead(stream.proxyStream, versions));
        }
    }

    void clearIdleConnections(EmulatedEndpoint endpoint) {
        idleConnections[endpoint.number] = 0;
    }

    // Txns.

    void handleRequest(
            ResponseListener client, int requestClass, long id, double work, double deadline) {
        if (stopped) {
            client.onResponse(0, false);
            return;
        }
        arrivals[requestClass]++;
        String name = fleet.requestClasses.get(requestClass);
        if (!admissionGate.admits(name, tables.routes.get(name), fleet.clock.now(), random)) {
            client.onResponse(503, true);
            return;
        }
        new Request(client, requestClass, id, work, deadline).startAttempt();
    }

    // Governors.

    private void disconnect() {
        if (joined) {
            joined = false;
            fleet.record(new TraceEvent.ProxyLeft(fleet.clock.now(), number));
        }
        connectionAttempt++;
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    private void scheduleReconnect() {
        int attempt = connectionAttempt;
        fleet.clock.scheduleAfter(
                MIN_RECONNECT_MILLIS
                        + reconnectRandom.nextDouble()
                                * (MAX_RECONNECT_MILLIS - MIN_RECONNECT_MILLIS),
                () -> {
                    if (attempt == connectionAttempt && !stopped) {
                        connect();
                    }
                });
    }

    /** Its stream broke, or none came about. */
    void onStreamBroken(EmulatedStream which) {
        if (which == stream) {
            disconnect();
            governorIndex++;
            scheduleReconnect();
        }
    }

    private void connect() {
        if (governors.isEmpty()) {
            return;
        }
        if (isolated) {
            scheduleReconnect();
            return;
        }
        stream =
                new EmulatedStream(
                        fleet, this, governors.get(governorIndex % governors.size()), form);
        EmulatedStream current = stream;
        boolean withoutTables =
                form == ProxyStream.UpdateMode.WHOLE
                        ? !stateAccepted
                        : form == ProxyStream.UpdateMode.EDITS
                                ? !heldVersions.containsKey(ResourceName.ROUTE)
                                : heldVersions.isEmpty();
        Map<ResourceName, String> versions = new LinkedHashMap<>(heldVersions);
        current.open(
                core -> {
                    GovernorCore round = core.core();
                    core.proxyConnected(
                            current,
                            current.proxyStream,
                            "proxy-" + number,
                            fleet.zones.get(zone),
                            expectedRate,
                            withoutTables);
                    if (form == ProxyStream.UpdateMode.CHANGES) {
                        round.heldVersionsReported(current.proxyStream, versions);
                    }
                    round.subscriptionChanged(current.proxyStream, ResourceType.CLUSTER, 0, true);
                    round.subscriptionChanged(current.proxyStream, ResourceType.ROUTE, 0, true);
                    if (form == ProxyStream.UpdateMode.EDITS) {
                        round.subscriptionChanged(
                                current.proxyStream, ResourceType.ENDPOINTS, 0, true);
                        round.subscriptionChanged(current.proxyStream, ResourceType.LINE, 0, true);
                        round.fullStateRead(current.proxyStream, versions);
                    } else {
                        versions.keySet().stream()
                                .filter(name -> name.type() == ResourceType.CLUSTER)
                                .forEach(
                                        name -> {
                                            round.subscriptionChanged(
                                                    current.proxyStream,
                                                    ResourceType.ENDPOINTS,
                                                    name.table(),
                                                    true);
                                            if (form == ProxyStream.UpdateMode.CHANGES) {
                                                round.subscriptionChanged(
                                                        current.proxyStream,
                                                        ResourceType.LINE,
                                                        name.table(),
                                                        true);
                                            }
                                        });
                    }
                });
        reportedAt = fleet.clock.now();
        scheduleReport(current);
    }

    private void scheduleReport(EmulatedStream current) {
        fleet.clock.scheduleAfter(
                form == ProxyStream.UpdateMode.EDITS
                        ? EmulatedFleet.NOTIFICATION_MILLIS
                        : current.governor.reportIntervalMillis(),
                () -> {
                    if (current == stream) {
                        List<LoadReport.EndpointStats> stats = new ArrayList<>();
                        for (int endpoint = 0; endpoint < endpointStats.length; endpoint++) {
                            EndpointStats observed = endpointStats[endpoint];
                            if (observed != null
                                    && (observed.issued() > 0
                                            || observed.completed() > 0
                                            || observed.failed() > 0)) {
                                stats.add(
                                        new LoadReport.EndpointStats(
                                                fleet.endpoints.get(endpoint).id,
                                                observed.issued(),
                                                observed.completed(),
                                                observed.failed(),
                                                observed.responseMillis(),
                                                observed.utilizationSum(),
                                                observed.utilizationReports()));
                            }
                            endpointStats[endpoint] = null;
                        }
                        List<Long> counts = new ArrayList<>();
                        for (int requestClass = 0; requestClass < arrivals.length; requestClass++) {
                            counts.add(arrivals[requestClass]);
                            arrivals[requestClass] = 0;
                        }
                        double now = fleet.clock.now();
                        LoadReport loadReport =
                                new LoadReport(number, now - reportedAt, stats, counts);
                        reportedAt = now;
                        current.sendToGovernor(core -> core.core().loadReported(loadReport));
                        scheduleReport(current);
                    }
                });
    }

    /** A message came to be read. */
    void onMessage(EmulatedStream current, ResourceUpdate message, String controlPlaneId) {
        if (current != stream) {
            return;
        }
        double now = fleet.clock.now();
        if (!joined) {
            joined = true;
            fleet.record(new TraceEvent.ProxyJoined(now, number, current.governor.number));
        }
        boolean reject =
                messagesToReject > 0
                        && (form != ProxyStream.UpdateMode.CHANGES || !message.resources.isEmpty());
        String kind = message.type == null ? "edit" : message.type.name();
        fleet.record(
                new TraceEvent.MessageSent(
                        now,
                        number,
                        current.governor.number,
                        form == ProxyStream.UpdateMode.EDITS ? "netconf" : "xds",
                        kind,
                        message.id,
                        reject
                                ? 0
                                : form == ProxyStream.UpdateMode.WHOLE
                                        ? Math.max(message.entryCount(), message.resources.size())
                                        : message.resources.size() + message.removedNames.size(),
                        controlPlaneId));
        if (reject) {
            messagesToReject--;
            respond(current, message, "rejected by script");
            return;
        }
        List<Integer> clusters = new ArrayList<>();
        List<Integer> endpoints = new ArrayList<>();
        List<Integer> removedTables = new ArrayList<>();
        message.resources.forEach(item -> apply(item, clusters, endpoints));
        message.removedNames.forEach(name -> removeResource(name, removedTables));
        if (message.fullState) {
            Set<ResourceName> namesInMessage = new HashSet<>();
            message.resources.forEach(resource -> namesInMessage.add(resource.name()));
            List.copyOf(heldVersions.keySet()).stream()
                    .filter(
                            heldName ->
                                    heldName.type() == message.type
                                            && !namesInMessage.contains(heldName))
                    .forEach(heldName -> removeResource(heldName, removedTables));
        }
        stateAccepted = true;
        tablesChanged();
        respond(current, message, null);
        current.sendToGovernor(
                core -> {
                    GovernorCore round = core.core();
                    removedTables.forEach(
                            table -> {
                                round.subscriptionChanged(
                                        current.proxyStream, ResourceType.ENDPOINTS, table, false);
                                round.subscriptionChanged(
                                        current.proxyStream, ResourceType.LINE, table, false);
                            });
                    clusters.forEach(
                            table ->
                                    round.subscriptionChanged(
                                            current.proxyStream,
                                            ResourceType.ENDPOINTS,
                                            table,
                                            true));
                    if (form == ProxyStream.UpdateMode.CHANGES) {
                        endpoints.forEach(
                                table ->
                                        round.subscriptionChanged(
                                                current.proxyStream,
                                                ResourceType.LINE,
                                                table,
                                                true));
                    }
                });
    }

    private void respond(EmulatedStream current, ResourceUpdate message, String reason) {
        if (responsesToDrop > 0 && form == ProxyStream.UpdateMode.EDITS) {
            responsesToDrop--; // the device did it and says nothing: it is read again
            fleet.clock.scheduleAfter(
                    EmulatedFleet.RESPONSE_TIMEOUT_MILLIS,
                    () ->
                            current.sendToGovernor(
                                    core ->
                                            core.core()
                                                    .updateAnswered(
                                                            current.proxyStream,
                                                            message.id,
                                                            reason)));
            return;
        }
        Runnable send =
                () -> {
                    if (current == stream) {
                        fleet.record(
                                new TraceEvent.MessageAnswered(
                                        fleet.clock.now(), number, message.id, reason != null));
                        current.sendToGovernor(
                                core ->
                                        core.core()
                                                .updateAnswered(
                                                        current.proxyStream, message.id, reason));
                    }
                };
        double afterMillis =
                responseDelayMillis
                        + (form == ProxyStream.UpdateMode.EDITS
                                ? EmulatedFleet.EDIT_COMMIT_MILLIS
                                : 0);
        if (afterMillis > 0) {
            fleet.clock.scheduleAfter(afterMillis, send);
        } else {
            send.run();
        }
    }

    private void apply(RoutingResource item, List<Integer> clusters, List<Integer> endpoints) {
        ResourceName name = item.name();
        int table = name.table();
        boolean isNew = heldVersions.put(name, item.version()) == null;
        switch (name.type()) {
            case CLUSTER -> {
                tables.clusters.computeIfAbsent("t" + table, ignored -> new LinkedHashMap<>());
                if (isNew || form == ProxyStream.UpdateMode.WHOLE) {
                    clusters.add(table);
                }
            }
            case ENDPOINTS -> {
                if (form == ProxyStream.UpdateMode.WHOLE) {
                    Map<String, WeightedEndpoint<EmulatedEndpoint>> entries = new LinkedHashMap<>();
                    item.entries().forEach(entry -> putEntry(entries, entry));
                    tables.clusters.put("t" + table, entries);
                } else if (isNew) {
                    endpoints.add(table);
                }
            }
            case LINE ->
                    putEntry(
                            tables.clusters.computeIfAbsent(
                                    "t" + table, ignored -> new LinkedHashMap<>()),
                            item.entries().get(0));
            default -> {
                Map<String, Route> routes = new LinkedHashMap<>();
                for (RoutingResource.RouteRule rule : item.rules()) {
                    boolean byRate = fleet.admitsByRate;
                    routes.put(
                            fleet.requestClasses.get(rule.requestClass()),
                            new Route(
                                    "t" + rule.table(),
                                    byRate ? 1 : Math.min(1, rule.admittedLevel()),
                                    byRate && rule.admittedLevel() < 1e6
                                            ? rule.admittedLevel()
                                            : Double.POSITIVE_INFINITY,
                                    RETRY_MODES[rule.retryMode()]));
                }
                tables.routes = routes;
            }
        }
    }

    private void putEntry(
            Map<String, WeightedEndpoint<EmulatedEndpoint>> entries,
            RoutingResource.EndpointEntry entry) {
        EmulatedEndpoint endpoint = fleet.endpoint(entry.endpointId());
        if (endpoint != null) {
            entries.put(
                    endpoint.key,
                    new WeightedEndpoint<>("", endpoint, entry.weight(), !entry.draining()));
        }
    }

    private void removeResource(ResourceName name, List<Integer> removedTables) {
        heldVersions.remove(name);
        if (name.type() == ResourceType.CLUSTER) {
            tables.clusters.remove("t" + name.table());
            heldVersions
                    .keySet()
                    .removeIf(
                            heldName ->
                                    heldName.type() != ResourceType.ROUTE
                                            && heldName.table() == name.table());
            removedTables.add(name.table());
        } else if (name.type() == ResourceType.LINE) {
            EmulatedEndpoint endpoint = fleet.endpoint(name.endpointId());
            Map<String, WeightedEndpoint<EmulatedEndpoint>> entries =
                    tables.clusters.get("t" + name.table());
            if (entries != null && endpoint != null) {
                entries.remove(endpoint.key);
            }
        }
    }

    /** Its tables as somebody sets them who needs no channel: a baseline. */
    void setWeights(Map<EmulatedEndpoint, Double> weights) {
        Map<String, WeightedEndpoint<EmulatedEndpoint>> entries = new LinkedHashMap<>();
        weights.forEach(
                (endpoint, weight) ->
                        entries.put(
                                endpoint.key, new WeightedEndpoint<>("", endpoint, weight, true)));
        tables.clusters.put("t0", entries);
        if (tables.routes.isEmpty()) {
            Map<String, Route> routes = new LinkedHashMap<>();
            for (int requestClass = 0; requestClass < fleet.requestClasses.size(); requestClass++) {
                routes.put(
                        fleet.requestClasses.get(requestClass),
                        new Route(
                                "t0",
                                1,
                                Double.POSITIVE_INFINITY,
                                fleet.isIdempotent(requestClass)
                                        ? Route.RetryMode.ANY
                                        : Route.RetryMode.UNRUN));
            }
            tables.routes = routes;
        }
        tablesChanged();
    }

    /** What it lets in of a product; 1 if it was told nothing. */
    double admittedShare(int requestClass) {
        Route route = tables.routes.get(fleet.requestClasses.get(requestClass));
        return route == null ? 1 : route.admittedShare();
    }

    private void tablesChanged() {
        tables.rebuildWeights();
        for (int requestClass = 0; requestClass < fleet.requestClasses.size(); requestClass++) {
            int pickable = tables.pickableCount(fleet.requestClasses.get(requestClass));
            Integer previous = reportedPickable.put(requestClass, pickable);
            if (previous == null || previous == 0 != (pickable == 0)) {
                fleet.record(
                        new TraceEvent.TableChanged(
                                fleet.clock.now(), number, requestClass, pickable));
            }
        }
        if (!tables.routes.isEmpty()) { // connections to what left its tables are closed
            boolean[] listed = new boolean[idleConnections.length];
            tables.clusters
                    .values()
                    .forEach(
                            entries ->
                                    entries.values()
                                            .forEach(
                                                    entry -> listed[entry.endpoint.number] = true));
            for (int i = 0; i < idleConnections.length; i++) {
                if (!listed[i] && idleConnections[i] > 0) {
                    EmulatedEndpoint endpoint = fleet.endpoints.get(i);
                    endpoint.connections -= endpoint.isUp() ? idleConnections[i] : 0;
                    idleConnections[i] = 0;
                }
            }
        }
    }
}
