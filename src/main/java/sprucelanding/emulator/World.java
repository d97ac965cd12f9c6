package sprucelanding.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import sprucelanding.capture.Overheard;
import sprucelanding.day.Fleet;
import sprucelanding.day.Script;
import sprucelanding.day.Troubles;
import sprucelanding.delivery.Holder;
import sprucelanding.fleet.Packets;
import sprucelanding.model.Machine;
import sprucelanding.model.Shunned;
import sprucelanding.model.Tables;
import sprucelanding.roster.Entry;
import sprucelanding.rules.Seen;
import sprucelanding.station.Station;

/** All of a day: builds the fleet, does the troubles, and runs its clock. */
final class World implements Fleet {
    static final double HOP = 0.15; // ms one way between two machines
    static final double NOTIFIES = 1000;
    static final double EDIT_TAKES = 6; // ms more until an edit's commit is confirmed
    static final double UNANSWERED = 3000;
    private static final double BEGIN = 1_000_000; // 0 stands for long ago
    private static final double LEAD = 3000;
    private static final double SECOND = 1000;

    final Script script;
    final Clock clock = new Clock(BEGIN);
    final List<String> zones;
    final List<String> kinds;
    final List<String> products;
    final Tables.Pick pick;
    final boolean byRate;
    final Roster roster = new Roster(this);
    final List<Server> servers = new ArrayList<>();
    final List<Office> offices = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Clients> clients = new ArrayList<>();
    private final Map<Long, Server> byId = new HashMap<>();
    private final List<double[]> samples = new ArrayList<>();
    private final Set<Integer> cut = new HashSet<>();
    private final Consumer<Seen> seen;
    private final Emulation.Ears ears;
    private final Policy policy;
    private final SplittableRandom chance;
    private final int devicesFrom;
    private final double lasts;
    private final Fate fate;
    private final Set<Integer> cutOff = new HashSet<>();
    private final Packets packets = new Packets(List.of(new byte[16])); // for their sizes only
    private final SplittableRandom peerChance;
    private double peersLose;
    private long peerBytes;
    private long peerPackets;
    private double rate = 1;
    private long txns;

    /** A replica that there is. */
    record Born(long id, int zone, int kind, Machine.Make make) {}

    /** What befalls the fleet: called once, before the clients begin. */
    interface Fate {
        void befalls(World world);
    }

    /**
     * @param stations by governor
     * @param demand by proxy
     * @param seed of what is not demand: picks, waits, failures
     * @param seen told all that stand-ins on sockets would note, in order
     */
    World(
            Script script,
            double lasts,
            List<Born> born,
            List<Station> stations,
            Policy policy,
            IntFunction<Demand> demand,
            Fate fate,
            long seed,
            Consumer<Seen> seen,
            Emulation.Ears ears) {
        this.script = script;
        this.lasts = lasts;
        this.policy = policy;
        this.fate = fate;
        this.seen = seen;
        this.ears = ears;
        this.chance = new SplittableRandom(script.seed());
        this.peerChance = new SplittableRandom(seed * 5000 + 1);
        this.zones = script.zones();
        this.kinds = script.kinds().stream().map(Script.Kind::name).toList();
        this.products = script.products().stream().map(Script.Ware::name).toList();
        this.pick = Tables.Pick.valueOf(script.proxies().pick().toUpperCase(java.util.Locale.ROOT));
        this.byRate = !stations.isEmpty() && stations.get(0).admits().equals("rate");
        for (Born b : born) {
            Server s =
                    new Server(
                            this,
                            servers.size(),
                            b.id,
                            b.zone,
                            b.kind,
                            b.make,
                            seed * 1000 + servers.size());
            servers.add(s);
            byId.put(s.id, s);
        }
        for (int g = 0; policy == Policy.GOVERNORS && g < stations.size(); g++) {
            offices.add(new Office(this, g, g % zones.size(), stations.get(g)));
        }
        int count = script.proxies().count();
        devicesFrom = count - (int) Math.round(script.proxies().devices() * count);
        double[] usuals = script.usuals();
        for (int i = 0; i < count; i++) {
            Holder.Form form =
                    i >= devicesFrom
                            ? Holder.Form.EDITS
                            : i < script.proxies().stateOfTheWorld() * count
                                    ? Holder.Form.WHOLE
                                    : Holder.Form.CHANGES;
            Proxy p =
                    new Proxy(
                            this,
                            i,
                            i % zones.size(),
                            usuals[i],
                            form,
                            doors(i % zones.size(), i),
                            seed * 2000 + 2 * i);
            proxies.add(p);
            clients.add(new Clients(this, p, demand.apply(i), seed * 4000 + i));
        }
    }

    /** Plays all of it. */
    void run() {
        servers.forEach(s -> s.start(false));
        roster.learns(servers, Entry.Stage.READY, 0);
        offices.forEach(Office::start);
        clock.run(BEGIN + 50);
        for (Proxy p : proxies) {
            List<Server> standing = standing(p.zone);
            clock.in(chance(p.number) * 100, () -> p.start(standing));
        }
        if (policy == Policy.INVERSE || policy == Policy.SEEING) {
            clock.in(200, this::sets);
        }
        fate.befalls(this);
        clock.at(begin(), this::sample);
        clock.at(begin(), () -> clients.forEach(Clients::start));
        double longest =
                script.products().stream().mapToDouble(Script.Ware::expiry).max().orElse(0);
        clock.run(end() + longest + 200);
    }

    private void sample() {
        double[] row = new double[1 + zones.size() + products.size() + 1];
        row[0] = (clock.now() - begin()) / 1000;
        int[] n = new int[zones.size()];
        for (Server s : servers) {
            if (s.up()) {
                row[1 + s.zone] += s.util();
                n[s.zone]++;
            }
        }
        for (int z = 0; z < n.length; z++) {
            row[1 + z] /= Math.max(1, n[z]);
        }
        for (int k = 0; k < products.size(); k++) {
            for (Proxy p : proxies) {
                row[1 + n.length + k] += p.share(k) / proxies.size();
            }
        }
        offices.forEach(o -> row[row.length - 1] = Math.max(row[row.length - 1], o.longest()));
        samples.add(row);
        if (clock.now() < end()) {
            clock.in(SECOND, this::sample);
        }
    }

    List<double[]> samples() {
        return samples;
    }

    /** The troubles of its script. */
    void scripted() {
        Troubles troubles = new Troubles(script, this, chance);
        for (Script.Trouble t : script.allTroubles()) {
            if (t.at() < lasts) {
                clock.at(begin() + t.at(), () -> troubles.strike(t));
            }
        }
    }

    /** The replicas of a script. */
    static List<Born> born(Script script) {
        List<Born> all = new ArrayList<>();
        for (int i = 0; i < script.replicas().count(); i++) {
            int kind = script.kindOf(i);
            all.add(
                    new Born(
                            1000 + i,
                            i % script.zones().size(),
                            kind,
                            make(script, kind, script.kinds().get(kind).speed())));
        }
        return all;
    }

    /** What a replica of a kind can do, at a speed of its own. */
    static Machine.Make make(Script script, int kind, double speed) {
        Script.Kind k = script.kinds().get(kind);
        return new Machine.Make(
                k.cores(),
                speed,
                k.slots(),
                k.room(),
                script.replicas().coldFrom(),
                script.replicas().warmAfter(),
                script.replicas().connections());
    }

    private double chance(int proxy) {
        return (proxy * 0.6180339887) % 1;
    }

    /** When the clients begin and end, on the clock. */
    double begin() {
        return BEGIN + LEAD;
    }

    double end() {
        return begin() + lasts;
    }

    double rate() {
        return rate;
    }

    long nextTxn() {
        return ++txns;
    }

    boolean safe(int product) {
        return script.products().get(product).retry().equals("safe");
    }

    Server server(long id) {
        return byId.get(id);
    }

    Shunned<Server> shunned() {
        return new Shunned<>(script.proxies().ejectsAfter(), script.proxies().ejectsFor());
    }

    void saw(Seen what) {
        seen.accept(what);
    }

    void log(int governor, String text, Object... figures) {
        if (ears.logs()) {
            StringBuilder line =
                    new StringBuilder(
                            String.format(
                                    java.util.Locale.ROOT,
                                    "%10.3f governor %d: %s",
                                    (clock.now() - begin()) / 1000,
                                    governor,
                                    text));
            for (int i = 0; i + 1 < figures.length; i += 2) {
                line.append(' ').append(figures[i]).append('=').append(figures[i + 1]);
            }
            ears.logged(line.toString());
        }
    }

    Overheard.Sink capture(int governor, int life) {
        return ears.capture(governor, life);
    }

    boolean open(int a, int b) {
        return a == b || cut.isEmpty() || !cut.contains(a) && !cut.contains(b);
    }

    void forgetIdle(Server s) {
        proxies.forEach(p -> p.forgetIdle(s));
    }

    /** Governors of its own zone first. */
    private List<Office> doors(int zone, int seed) {
        List<Office> near = new ArrayList<>();
        List<Office> far = new ArrayList<>();
        offices.forEach(o -> (o.zone == zone ? near : far).add(o));
        Collections.shuffle(
                near,
                new Random(seed * 0x9E3779B97F4A7C15L)); // seeds in a row alone would shuffle alike
        Collections.shuffle(far, new Random(seed));
        near.addAll(far);
        return near;
    }

    private List<Server> standing(int zone) {
        List<Server> all =
                new ArrayList<>(
                        servers.stream()
                                .filter(s -> policy == Policy.EVEN || s.zone == zone)
                                .toList());
        Collections.shuffle(all, new Random(chance.nextLong()));
        int n =
                policy == Policy.EVEN
                        ? all.size()
                        : Math.min(script.proxies().standing(), all.size());
        return List.copyOf(all.subList(0, n));
    }

    /** A baseline's tables, for all proxies at once. */
    private void sets() {
        Map<Server, Double> weights = new LinkedHashMap<>();
        for (Server s : servers) {
            double w =
                    policy == Policy.SEEING ? s.able() : s.up() ? 1 / Math.max(0.05, s.util()) : 0;
            if (w > 0) {
                weights.put(s, w);
            }
        }
        proxies.forEach(p -> p.sets(weights));
        clock.in(SECOND, this::sets);
    }

    // What troubles can do here.

    @Override
    public int replicas() {
        return servers.size();
    }

    @Override
    public int proxies() {
        return proxies.size();
    }

    @Override
    public int devices() {
        return proxies.size() - devicesFrom;
    }

    @Override
    public int governors() {
        return offices.size();
    }

    @Override
    public int replicaZone(int replica) {
        return servers.get(replica).zone;
    }

    @Override
    public int proxyZone(int proxy) {
        return proxies.get(proxy).zone;
    }

    @Override
    public int governorZone(int governor) {
        return offices.get(governor).zone;
    }

    @Override
    public void later(double ms, Runnable what) {
        clock.in(ms, what);
    }

    @Override
    public void crash(int replica) {
        servers.get(replica).crash();
    }

    @Override
    public void start(int replica) {
        servers.get(replica).start(true);
    }

    @Override
    public boolean up(int replica) {
        return servers.get(replica).up();
    }

    @Override
    public void hangs(int replica, boolean on) {
        servers.get(replica).change(m -> m.hangs(on));
    }

    @Override
    public void slower(int replica, double times) {
        servers.get(replica).change(m -> m.slower(times));
    }

    @Override
    public void fails(int replica, double share) {
        servers.get(replica).fails(share);
    }

    @Override
    public void paused(int replica, boolean on) {
        servers.get(replica).change(m -> m.paused(on));
    }

    @Override
    public void taken(int replica, double share) {
        servers.get(replica).change(m -> m.taken(share));
    }

    @Override
    public void connections(int replica, int most) {
        servers.get(replica).connections(most);
    }

    @Override
    public void deafTo(int replica, int zone) {
        servers.get(replica).deafTo(zone);
    }

    @Override
    public void learns(List<Integer> replicas, Entry.Stage stage, double after) {
        roster.learns(replicas.stream().map(servers::get).toList(), stage, after);
    }

    @Override
    public void rosterLate(double ms) {
        roster.late(ms);
    }

    @Override
    public void rosterRestarts() {
        roster.restarts();
    }

    @Override
    public void cut(int zone, boolean on) {
        if (on) {
            cut.add(zone);
        } else {
            cut.remove(zone);
        }
        offices.forEach(o -> Set.copyOf(o.streams).forEach(Stream::look));
    }

    @Override
    public void rate(double times) {
        rate = times;
    }

    @Override
    public void proxyCrash(int proxy) {
        proxies.get(proxy).crash();
    }

    @Override
    public void proxyStart(int proxy) {
        proxies.get(proxy).start(standing(proxies.get(proxy).zone));
    }

    @Override
    public void alone(int proxy, boolean on) {
        proxies.get(proxy).alone(on);
    }

    @Override
    public void answersAfter(int proxy, double ms) {
        proxies.get(proxy).answersAfter = ms;
    }

    @Override
    public void rejects(int proxy, int messages) {
        proxies.get(proxy).rejects(messages);
    }

    @Override
    public void readsNothing(int proxy, boolean on) {
        proxies.get(proxy).readsNothing(on);
    }

    @Override
    public void governorDies(int governor) {
        offices.get(governor).dies();
    }

    @Override
    public void governorStarts(int governor) {
        offices.get(governor).start();
    }

    @Override
    public void governorPauses(int governor, boolean on) {
        offices.get(governor).pauses(on);
    }

    @Override
    public void governorStops(int governor) {
        offices.get(governor).stops();
    }

    @Override
    public void governorCut(int governor, boolean on) {
        offices.get(governor).alone(on);
    }

    @Override
    public void peersCut(int governor, boolean on) {
        if (on) {
            cutOff.add(governor);
        } else {
            cutOff.remove(governor);
        }
    }

    @Override
    public void peersLose(double share) {
        peersLose = share;
    }

    @Override
    public void struck(int governor, String what) {
        saw(new Seen.Struck(clock.now(), governor, what));
    }

    /** From one governor to another, or to all: -1. */
    void tell(int from, int to, Object message) {
        int size = packets.put(message).length;
        for (Office o : offices) {
            if (o.number != from && (to < 0 || to == o.number)) {
                peerBytes += size;
                peerPackets++;
                if (open(offices.get(from).zone, o.zone)
                        && !cutOff.contains(from)
                        && !cutOff.contains(o.number)
                        && peerChance.nextDouble() >= peersLose) {
                    clock.in(HOP + peerChance.nextDouble(), () -> o.heard(message));
                }
            }
        }
    }

    long peerBytes() {
        return peerBytes;
    }

    long peerPackets() {
        return peerPackets;
    }

    @Override
    public void lockHeld(int device, double ms) {
        Proxy p = proxies.get(devicesFrom + device);
        p.answersAfter = ms;
        clock.in(ms, () -> p.answersAfter = 0);
    }

    @Override
    public void mute(int device, int answers) {
        proxies.get(devicesFrom + device).mute(answers);
    }

    @Override
    public void drifts(int device) {
        proxies.get(devicesFrom + device).drifts();
    }

    @Override
    public void breaksAfter(int governor, int zone, int bytes) {
        offices.get(governor).breaksAfter(zone, bytes);
    }
}
