package sprucelanding.platform;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.Choice;
import sprucelanding.Orders;
import sprucelanding.Product;
import sprucelanding.Proxy;
import sprucelanding.Replica;
import sprucelanding.opening.Opening;
import sprucelanding.updates.Keeps;
import sprucelanding.updates.Update;

/**
 * A governor without sockets on a virtual clock: discovery's lists and the proxies' messages go in,
 * the bytes of the updates go into a transcript. Proxies acknowledge each update at the next step;
 * probes are answered then, too.
 */
final class VirtualGovernor implements Orders {
    /** How an endpoint answers a probe. */
    interface Endpoints {
        Choice.Answer answers(String endpoint);
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

    final Opening opening = new Opening(SETTINGS);
    final Choice choice = opening.choice(0x5eedL);
    final Names names = new Names(opening.names("zones"), opening.names("kinds"));
    final Keeps keeps =
            new Keeps(opening.names("classes").size(), Replica::doubted, Replica::ready);
    final Words words = new Words(opening.names("classes"), r -> names.of(r.id).uid);
    final StringBuilder transcript = new StringBuilder();

    /** Objects that orders named, for tests that give orders of their own. */
    final Map<String, Replica> replicas = new TreeMap<>();

    final Map<Integer, Proxy> proxies = new TreeMap<>();
    final Map<Integer, Product> products = new TreeMap<>();

    private final Endpoints endpoints;
    private final List<Timer> timers = new ArrayList<>();
    private final List<Acknowledgement> acknowledgements = new ArrayList<>();
    private final List<String> probed = new ArrayList<>();
    private double elapsed;

    VirtualGovernor(Endpoints endpoints) {
        this.endpoints = endpoints;
        choice.clock(START_MS);
    }

    /** Lets time pass, and what is due by then come in; nothing is decided yet. */
    void passes(double ms) {
        elapsed += ms;
        choice.clock(START_MS + elapsed);
        List<Timer> due = timers.stream().filter(t -> t.at <= START_MS + elapsed).toList();
        timers.removeAll(due);
        due.forEach(timer -> choice.bell(timer.tag));
        List.copyOf(acknowledgements).forEach(a -> choice.inForce(a.proxy, a.receipt));
        acknowledgements.clear();
        for (String endpoint : List.copyOf(probed)) {
            Choice.Answer answer = endpoints.answers(endpoint);
            double load = answer == Choice.Answer.OK ? 0.5 : Double.NaN;
            choice.probed(names.of(endpoint).id, answer, load);
        }
        probed.clear();
    }

    void discovery(String list, boolean first) {
        JsonObject told = Json.parse(list).asObject();
        names.told(told, first, START_MS + elapsed, choice);
    }

    void joins(int proxy, String zone, double share, boolean bare) {
        keeps.joined(proxy, bare);
        choice.joined(proxy, names.zone(zone), share, bare);
    }

    void leaves(int proxy) {
        keeps.left(proxy);
        choice.left(proxy);
    }

    void reports(String endpoint, int tries, int failed, double answerTime, double load) {
        choice.met(names.of(endpoint).id, tries, failed, answerTime, load);
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
        words.moment();
        keeps.flush(this::write);
    }

    private void write(Update update) {
        transcript.append("at ").append((long) elapsed).append(" ms to proxy ");
        transcript.append(update.proxy()).append('\n');
        transcript.append(new String(words.bytes(update), StandardCharsets.UTF_8));
        if (update.receipt() != Update.NONE) {
            acknowledgements.add(new Acknowledgement(update.proxy(), update.receipt()));
        }
    }

    @Override
    public void line(int table, Replica replica, double weight) {
        replicas.put(names.of(replica.id).uid, replica);
        keeps.line(table, replica, weight);
    }

    @Override
    public void clear(int table) {
        keeps.clear(table);
    }

    @Override
    public void withdraw(Replica replica, boolean out) {
        keeps.withdraw(replica, out);
    }

    @Override
    public void level(int table, Product product, double letIn, int retry) {
        products.put(product.index, product);
        keeps.level(table, product, letIn, retry);
    }

    @Override
    public void bind(int table, Proxy proxy, BitSet mask) {
        proxies.put(proxy.id, proxy);
        keeps.bind(table, proxy, mask);
    }

    @Override
    public void receipt(int serial) {
        keeps.receipt(serial);
    }

    @Override
    public void probe(Replica replica) {
        String endpoint = names.of(replica.id).uid;
        probed.add(endpoint);
        transcript.append("at ").append((long) elapsed).append(" ms probe ");
        transcript.append(endpoint).append('\n');
    }

    @Override
    public void tellPeers(byte[] note) {
        throw new AssertionError("the platform has no messages between governors");
    }

    @Override
    public void watchList() {
        throw new AssertionError("the watch is always open");
    }

    @Override
    public void timer(int tag, double at) {
        timers.add(new Timer(tag, at));
    }

    @Override
    public void log(String text) {
        // the log is no part of the protocol
    }
}
