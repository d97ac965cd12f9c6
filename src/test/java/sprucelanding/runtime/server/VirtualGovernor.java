package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableDistributor;
import sprucelanding.control.settings.SettingsReader;

/**
 * A governor without sockets on a virtual clock: discovery's lists and the proxies' messages go in,
 * the bytes of the updates go into a transcript. Proxies acknowledge each update at the next step;
 * probes are answered then, too.
 */
final class VirtualGovernor implements ControllerOutput {
    /** How an endpoint answers a probe. */
    interface Endpoints {
        HealthCheckResult answers(String endpoint);
    }

    private record Timer(int tag, double at) {}

    private record Acknowledgement(int proxy, int receipt) {}

    private static final double START_MS = 1_700_000_000_000.0;
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

    final SettingsReader opening = new SettingsReader(SETTINGS);
    final RoutingController choice = opening.newController(0x5eedL);
    final EndpointDirectory names =
            new EndpointDirectory(opening.names("zones"), opening.names("kinds"));
    final TableDistributor keeps =
            new TableDistributor(
                    opening.names("classes").size(),
                    Endpoint::mayBeEjectedElsewhere,
                    Endpoint::isAvailable);
    final UpdateEncoder words =
            new UpdateEncoder(opening.names("classes"), endpoint -> names.find(endpoint.id).uid());
    final StringBuilder transcript = new StringBuilder();

    /** Objects that orders named, for tests that give orders of their own. */
    final Map<String, Endpoint> replicas = new TreeMap<>();

    final Map<Integer, Proxy> proxies = new TreeMap<>();
    final Map<Integer, RequestClass> products = new TreeMap<>();

    private final Endpoints endpoints;
    private final List<Timer> timers = new ArrayList<>();
    private final List<Acknowledgement> acknowledgements = new ArrayList<>();
    private final List<String> probed = new ArrayList<>();
    private double elapsed;

    VirtualGovernor(Endpoints endpoints) {
        this.endpoints = endpoints;
        choice.setTime(START_MS);
    }

    /** Lets time pass, and what is due by then come in; nothing is decided yet. */
    void passes(double ms) {
        elapsed += ms;
        choice.setTime(START_MS + elapsed);
        List<Timer> due = timers.stream().filter(t -> t.at <= START_MS + elapsed).toList();
        timers.removeAll(due);
        due.forEach(timer -> choice.timerFired(timer.tag));
        List.copyOf(acknowledgements).forEach(a -> choice.acknowledged(a.proxy, a.receipt));
        acknowledgements.clear();
        for (String endpoint : List.copyOf(probed)) {
            HealthCheckResult answer = endpoints.answers(endpoint);
            double load = answer == HealthCheckResult.OK ? 0.5 : Double.NaN;
            choice.healthCheckCompleted(names.find(endpoint).id(), answer, load);
        }
        probed.clear();
    }

    void discovery(String list, ListOrigin origin) {
        JsonObject told = Json.parse(list).asObject();
        names.applyList(told, origin, START_MS + elapsed, choice);
    }

    void joins(int proxy, String zone, double share, boolean bare) {
        keeps.proxyJoined(proxy, bare);
        choice.proxyJoined(proxy, names.zoneIndex(zone), share, bare);
    }

    void leaves(int proxy) {
        keeps.proxyLeft(proxy);
        choice.proxyLeft(proxy);
    }

    void reports(String endpoint, int attempts, int failed, double answerTime, double load) {
        choice.endpointStatsReported(names.find(endpoint).id(), attempts, failed, answerTime, load);
    }

    /** Decides, and writes down the updates that come of it. */
    void decides() {
        while (choice.decide(this)) {
            continue;
        }
        writes();
    }

    /** Ends the moment: writes down each proxy's update. */
    void writes() {
        words.beginBatch();
        keeps.flush(this::write);
    }

    private void write(ProxyUpdate update) {
        transcript.append("at ").append((long) elapsed).append(" ms to proxy ");
        transcript.append(update.proxyId()).append('\n');
        transcript.append(new String(words.encode(update), StandardCharsets.UTF_8));
        if (update.acknowledgementId() != ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            acknowledgements.add(new Acknowledgement(update.proxyId(), update.acknowledgementId()));
        }
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        replicas.put(names.find(endpoint.id).uid(), endpoint);
        keeps.setWeight(table, endpoint, weight);
    }

    @Override
    public void clearTable(int table) {
        keeps.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean out) {
        keeps.setEjected(endpoint, out);
    }

    @Override
    public void setAdmission(int table, RequestClass requestClass, double letIn, int retry) {
        products.put(requestClass.index, requestClass);
        keeps.setAdmission(table, requestClass, letIn, retry);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet mask) {
        proxies.put(proxy.id, proxy);
        keeps.bindProxy(table, proxy, mask);
    }

    @Override
    public void requestAcknowledgement(int serial) {
        keeps.requestAcknowledgement(serial);
    }

    @Override
    public void checkHealth(Endpoint replica) {
        String endpoint = names.find(replica.id).uid();
        probed.add(endpoint);
        transcript.append("at ").append((long) elapsed).append(" ms probe ");
        transcript.append(endpoint).append('\n');
    }

    @Override
    public void sendToPeers(byte[] note) {
        throw new AssertionError("the platform has no messages between governors");
    }

    @Override
    public void watchEndpointList() {
        throw new AssertionError("the watch is always open");
    }

    @Override
    public void setTimer(int tag, double at) {
        timers.add(new Timer(tag, at));
    }

    @Override
    public void log(DecisionEvent event) {
        // the log is no part of the protocol
    }
}
