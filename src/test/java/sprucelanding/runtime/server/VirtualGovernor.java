package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableDistributor;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * A governor without sockets, on a virtual clock. It receives discovery's lists and the proxies'
 * messages, and writes the bytes of the updates to a transcript. Updates are acknowledged and
 * health checks are completed at the next step.
 */
final class VirtualGovernor implements ControllerOutput, SiteNames {
    /** The source of the results of health checks. */
    interface HealthCheckResults {
        HealthCheckResult resultFor(String uid);
    }

    private record Timer(int timerId, double dueMillis) {}

    private record Acknowledgement(int proxyId, int acknowledgementId) {}

    private static final int MAX_ORDERS_PER_DECISION = 100_000;
    static final double START_MS = 1_700_000_000_000.0;
    private static final String SETTINGS =
            "{\"classes\":[{\"name\":\"browse\",\"effect\":\"pure\",\"worth\":1,\"promiseUs\":600000},"
                    + "{\"name\":\"order\",\"effect\":\"side_effect\",\"worth\":3,\"promiseUs\":900000},"
                    + "{\"name\":\"near\",\"effect\":\"pure\",\"worth\":0.5,\"promiseUs\":500000}],"
                    + "\"zones\":[\"north\",\"south\"],\"kinds\":[\"slim\",\"broad\"],\"tickUs\":5000,"
                    + "\"report\":{\"how\":\"answers\",\"names\":[\"cpu_share\",\"pending\"]},"
                    + "\"contract\":{\"coldFrom\":0.25,\"warmAfterUs\":8000000,\"drainGraceUs\":4000000},"
                    + "\"familyInfo\":{\"admit\":\"share\",\"proxies\":12,\"egressPerS\":900.0,\"head\":5.0,"
                    + "\"queueCap\":3000.0,\"updateCap\":0,\"reloadSpanUs\":10000000,\"transitMaxUs\":700000,"
                    + "\"homeOnly\":[false,false,true]},\"ceilings\":{\"probes\":true}}";

    final SettingsReader settings = new SettingsReader(SETTINGS);
    final RoutingController controller = settings.newController(0x5eedL);
    final EndpointDirectory directory =
            new EndpointDirectory(settings.names("zones"), settings.names("kinds"));
    final TableDistributor distributor =
            new TableDistributor(
                    settings.names("classes").size(),
                    Endpoint::mayBeEjectedElsewhere,
                    Endpoint::isAvailable);
    final UpdateEncoder encoder =
            new UpdateEncoder(
                    settings.names("classes"), endpoint -> directory.find(endpoint.id).uid());
    final StringBuilder transcript = new StringBuilder();

    /** Endpoints that appeared in orders, for tests that issue orders directly. */
    final Map<String, Endpoint> endpointsByUid = new TreeMap<>();

    final Map<Integer, Proxy> proxiesById = new TreeMap<>();
    final Map<Integer, RequestClass> requestClassesByIndex = new TreeMap<>();

    /** Receives each line of an update with the number of its proxy. */
    BiConsumer<Integer, String> updateListener = (proxy, line) -> {};

    private final HealthCheckResults healthCheckResults;
    private final List<Timer> timers = new ArrayList<>();
    private final List<Acknowledgement> acknowledgements = new ArrayList<>();
    private final List<String> checkedUids = new ArrayList<>();
    private double elapsedMillis;

    VirtualGovernor(HealthCheckResults healthCheckResults) {
        this(healthCheckResults, 0);
    }

    /**
     * Creates a governor without endpoints and proxies.
     *
     * @param elapsedMillis time of its start on the virtual clock
     */
    VirtualGovernor(HealthCheckResults healthCheckResults, double elapsedMillis) {
        this.healthCheckResults = healthCheckResults;
        this.elapsedMillis = elapsedMillis;
        controller.setTime(START_MS + elapsedMillis);
    }

    static String entry(int number, String state, long bootMs) {
        return "{\"uid\":\"e-%d\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"%s\",\"model\":\"%s\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%s,\"boot_ms\":%d}"
                .formatted(
                        number,
                        9000 + number,
                        number % 2 == 0 ? "north" : "south",
                        number % 3 == 0 ? "slim" : "broad",
                        number / 3,
                        state,
                        number % 3 == 0 ? "1.0" : "2.5",
                        bootMs);
    }

    static String list(int revision, boolean isFull, String... entries) {
        return "{\"rev\":%d,\"all\":%b,\"targets\":[%s]}"
                .formatted(revision, isFull, String.join(",", entries));
    }

    static String readyList(int revision, int endpoints) {
        return list(
                revision,
                true,
                IntStream.rangeClosed(1, endpoints)
                        .mapToObj(number -> entry(number, "ready", 0))
                        .toArray(String[]::new));
    }

    /** Advances the clock and delivers what is due, without a decision. */
    void advance(double millis) {
        elapsedMillis += millis;
        controller.setTime(START_MS + elapsedMillis);
        List<Timer> due =
                timers.stream().filter(t -> t.dueMillis <= START_MS + elapsedMillis).toList();
        timers.removeAll(due);
        due.forEach(timer -> controller.timerFired(timer.timerId));
        List.copyOf(acknowledgements)
                .forEach(a -> controller.acknowledged(a.proxyId, a.acknowledgementId));
        acknowledgements.clear();
        for (String endpoint : List.copyOf(checkedUids)) {
            HealthCheckResult result = healthCheckResults.resultFor(endpoint);
            double load = result == HealthCheckResult.OK ? 0.5 : Double.NaN;
            controller.healthCheckCompleted(directory.find(endpoint).id(), result, load);
        }
        checkedUids.clear();
    }

    void applyList(String list, ListOrigin origin) {
        JsonObject update = Json.parse(list).asObject();
        directory.applyList(update, origin, START_MS + elapsedMillis, controller);
    }

    void joinProxy(int proxy, String zone, double expectedRate, boolean withoutTables) {
        distributor.proxyJoined(proxy, withoutTables);
        controller.proxyJoined(proxy, directory.zoneIndex(zone), expectedRate, withoutTables);
    }

    void removeProxy(int proxy) {
        distributor.proxyLeft(proxy);
        controller.proxyLeft(proxy);
    }

    void reportStats(
            String endpoint, int attempts, int failed, double responseMillis, double load) {
        controller.endpointStatsReported(
                directory.find(endpoint).id(), attempts, failed, responseMillis, load);
    }

    /**
     * Processes a message as the sessions of clients do.
     *
     * @throws MalformedInputException if the message is dropped
     */
    void receive(String line) {
        MessageFields fields = MessageFields.parse(line);
        switch (fields.type()) {
            case JOINED -> {
                JoinMessage joined = JoinMessage.parse(fields, this, settings.proxyCount());
                distributor.proxyJoined(joined.proxyId(), joined.withoutTables());
                controller.proxyJoined(
                        joined.proxyId(),
                        joined.zoneIndex(),
                        joined.expectedRate(),
                        joined.withoutTables());
            }
            case APPLIED ->
                    controller.acknowledged(AppliedMessage.parse(fields).acknowledgementId());
            case USAGE -> {
                UsageMessage usage =
                        UsageMessage.parse(
                                fields, this, settings.proxyCount(), OptionalInt.empty());
                controller.demandReported(
                        usage.proxyId(),
                        usage.classIndex(),
                        usage.requestCount(),
                        usage.windowMillis());
            }
            case ENDPOINT_STATS -> {
                EndpointStatsMessage stats = EndpointStatsMessage.parse(fields, this);
                double load = new LoadReportParser(settings.loadField()).load(stats.loadReport());
                reportStats(
                        stats.endpointUid(),
                        stats.attempts(),
                        stats.failedAttempts(),
                        stats.responseMillis(),
                        load);
            }
            default -> throw new MalformedInputException("message type not accepted");
        }
    }

    /** Runs the decisions and writes the resulting updates. */
    void decide() {
        for (int orders = 0; controller.decide(this); orders++) {
            if (orders > MAX_ORDERS_PER_DECISION) {
                throw new AssertionError("a decision does not end");
            }
        }
        writeUpdates();
    }

    @Override
    public int zoneIndex(String name) {
        return directory.zoneIndex(name);
    }

    @Override
    public int requestClassIndex(String name) {
        return settings.names("classes").indexOf(name);
    }

    @Override
    public boolean isKnownEndpoint(String uid) {
        return directory.find(uid) != null;
    }

    /** Ends the batch and writes the update of each proxy. */
    void writeUpdates() {
        encoder.beginBatch();
        distributor.flush(controller::holdsUpdates, this::write);
    }

    private void write(ProxyUpdate update) {
        transcript.append("at ").append((long) elapsedMillis).append(" ms to proxy ");
        transcript.append(update.proxyId()).append('\n');
        String lines = new String(encoder.encode(update), StandardCharsets.UTF_8);
        transcript.append(lines);
        lines.lines().forEach(line -> updateListener.accept(update.proxyId(), line));
        if (update.acknowledgementId() != ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            acknowledgements.add(new Acknowledgement(update.proxyId(), update.acknowledgementId()));
        }
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        endpointsByUid.put(directory.find(endpoint.id).uid(), endpoint);
        distributor.setWeight(table, endpoint, weight);
    }

    @Override
    public void clearTable(int table) {
        distributor.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean isEjected) {
        distributor.setEjected(endpoint, isEjected);
    }

    @Override
    public void restoreAt(Endpoint endpoint, Collection<Proxy> proxies) {
        distributor.restoreAt(endpoint, proxies);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedShare, int retryPolicy) {
        requestClassesByIndex.put(requestClass.index, requestClass);
        distributor.setAdmission(table, requestClass, admittedShare, retryPolicy);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        proxiesById.put(proxy.id, proxy);
        distributor.bindProxy(table, proxy, requestClasses);
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        distributor.requestAcknowledgement(acknowledgementId);
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        String uid = directory.find(endpoint.id).uid();
        checkedUids.add(uid);
        transcript.append("at ").append((long) elapsedMillis).append(" ms probe ");
        transcript.append(uid).append('\n');
    }

    @Override
    public void sendToPeers(byte[] payload) {
        throw new AssertionError("governors on the platform do not exchange messages");
    }

    @Override
    public void watchEndpointList() {
        throw new AssertionError("the discovery watch is always running");
    }

    @Override
    public void setTimer(int timerId, double dueMillis) {
        timers.add(new Timer(timerId, dueMillis));
    }

    @Override
    public void log(DecisionEvent event) {
        // the log is not part of the protocol
    }
}
