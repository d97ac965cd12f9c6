package sprucelanding.day;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.sshd.common.config.keys.PublicKeyEntry;
import org.apache.sshd.common.config.keys.writer.openssh.OpenSSHKeyPairResourceWriter;
import sprucelanding.loop.Loop;
import sprucelanding.roster.Entry;
import sprucelanding.rules.Judge;
import sprucelanding.rules.Limits;
import sprucelanding.rules.Seen;
import sprucelanding.rules.Tape;
import sprucelanding.rules.Verdict;
import sprucelanding.standin.ClientStand;
import sprucelanding.standin.DeviceStand;
import sprucelanding.standin.Links;
import sprucelanding.standin.Ports;
import sprucelanding.standin.ProxyStand;
import sprucelanding.standin.Relay;
import sprucelanding.standin.ReplicaStand;
import sprucelanding.standin.RosterStand;

/** Plays a script: stand-ins in this process on a few loops, governors as processes of their own. */
public final class Day {
    /** Whose tables proxies go by: the governors', all replicas evenly as listed, or the standing ones all day. */
    public enum Tables { governors, even, handsOff }

    private static final int TAPE = 20_000_000;
    private static final double LEAD = 3000; // ms from the fleet's start to the first txn

    /** What came of it. */
    public record Outcome(String table, boolean kept, ObjectNode figures) {
        public void write(Path file) throws IOException {
            Files.writeString(file, figures.toPrettyString() + "\n");
        }
    }

    private final Script script;
    private final double lasts;
    private final Tables whose;
    private final Path folder;
    private final Tape tape = new Tape(TAPE);
    private final Links links = new Links();
    private final Loop rosterLoop = Loop.started("roster");
    private final Loop[] replicaLoops = {Loop.started("replicas-0"), Loop.started("replicas-1")};
    private final Loop[] proxyLoops = {Loop.started("proxies-0"), Loop.started("proxies-1")};
    private final Loop clientLoop = Loop.started("clients");
    private final Loop relayLoop = Loop.started("relays");
    private final NioEventLoopGroup transport = new NioEventLoopGroup(2);
    private final List<ReplicaStand> replicas = new ArrayList<>();
    private final List<ProxyStand> proxies = new ArrayList<>();
    private final List<ClientStand> clients = new ArrayList<>();
    private final List<GovernorProcess> governors = new ArrayList<>();
    /** By governor, then by zone of the proxies. */
    private final List<List<Relay>> relays = new ArrayList<>();
    /** The same for devices. */
    private final List<List<Relay>> callRelays = new ArrayList<>();
    private final List<DeviceStand> devices = new ArrayList<>();
    private final List<KeyPair> hostKeys = new ArrayList<>();
    private KeyPair ownKey;
    private final SplittableRandom chance;
    private RosterStand roster;
    private double rateNow = 1;

    /** @param logs folder for the governors' logs; null for one that is thrown away */
    public Day(Script script, double lasts, Tables whose, Path logs) throws IOException {
        script.check();
        this.script = script;
        this.lasts = lasts;
        this.whose = whose;
        this.chance = new SplittableRandom(script.seed());
        this.folder = logs == null ? Files.createTempDirectory("day") : Files.createDirectories(logs);
    }

    public Outcome play() throws IOException, InterruptedException {
        try {
            raise();
            double begin = Loop.now() + LEAD;
            for (Script.Trouble t : script.troubles()) {
                if (t.at() < lasts) {
                    rosterLoop.hand(() -> rosterLoop.at(begin + t.at(), () -> strike(t)));
                }
            }
            Thread.sleep((long) LEAD);
            clients.forEach(c -> clientLoop.hand(c::start));
            Thread.sleep((long) lasts);
            clients.forEach(c -> clientLoop.hand(c::stop));
            double longest = script.products().stream().mapToDouble(Script.Ware::expiry).max().orElse(0);
            Thread.sleep((long) longest + 200);
            double cpu = governors.stream().mapToDouble(GovernorProcess::cpu).sum();
            double memory = governors.stream().mapToDouble(GovernorProcess::memory).max().orElse(0);
            for (GovernorProcess g : governors) {
                g.stop();
            }
            return outcome(cpu, memory);
        } finally {
            for (GovernorProcess g : governors) {
                g.stop();
            }
            for (DeviceStand d : devices) {
                d.stop();
            }
            for (Loop loop : List.of(rosterLoop, replicaLoops[0], replicaLoops[1], proxyLoops[0], proxyLoops[1],
                    clientLoop, relayLoop)) {
                loop.close();
            }
            transport.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    // The fleet.

    private void raise() throws IOException, InterruptedException {
        List<String> zones = script.zones();
        List<String> kinds = script.kinds().stream().map(Script.Kind::name).toList();
        List<String> products = script.products().stream().map(Script.Ware::name).toList();
        int rosterPort = Ports.free();
        roster = new RosterStand(rosterLoop, new InetSocketAddress("127.0.0.1", rosterPort), zones, kinds, tape);
        for (int i = 0; i < script.replicas().count(); i++) {
            int kind = kind(i);
            Script.Kind k = script.kinds().get(kind);
            ReplicaStand r = new ReplicaStand(replicaLoops[i % 2], 1000 + i, i % zones.size(), kind,
                    new InetSocketAddress("127.0.0.1", Ports.free()), new ReplicaStand.Machine(k.cores(), k.speed(),
                    k.slots(), k.room(), script.replicas().coldFrom(), script.replicas().warmAfter(),
                    script.replicas().connections()), products, links, tape, script.seed() * 1000 + i);
            replicas.add(r);
            on(replicaLoops[i % 2], () -> r.start(false));
        }
        on(rosterLoop, roster::start);
        on(rosterLoop, () -> roster.learns(replicas, Entry.Stage.READY, 0));
        int devicesFrom = script.proxies().count() - (int) Math.round(script.proxies().devices() * script.proxies().count());
        pins(devicesFrom);
        int count = whose == Tables.governors ? script.governors().count() : 0;
        List<Integer> peerPorts = new ArrayList<>();
        for (int g = 0; g < count; g++) {
            peerPorts.add(Ports.free());
        }
        for (int g = 0; g < count; g++) {
            int zone = g % zones.size();
            InetAddress from = links.from(2, zone, g).getAddress();
            int governor = g;
            on(rosterLoop, () -> roster.governor(from, governor));
            int port = Ports.free();
            int calls = Ports.free();
            GovernorProcess p = new GovernorProcess(g, zone, port, folder,
                    station(g, port, calls, rosterPort, from, peerPorts, zones, kinds));
            governors.add(p);
            p.start();
            List<Relay> byZone = new ArrayList<>();
            for (int z = 0; z < zones.size(); z++) {
                int near = z;
                byZone.add(called(relayLoop, () -> new Relay(relayLoop, new InetSocketAddress("127.0.0.1", p.port),
                        () -> links.open(near, p.zone))));
            }
            relays.add(byZone);
            List<Relay> callsByZone = new ArrayList<>();
            for (int z = 0; z < zones.size(); z++) {
                int near = z;
                callsByZone.add(called(relayLoop, () -> new Relay(relayLoop, new InetSocketAddress("127.0.0.1", calls),
                        () -> links.open(near, p.zone))));
            }
            callRelays.add(callsByZone);
        }
        for (GovernorProcess p : governors) {
            p.ready();
        }
        double[] weights = new double[script.proxies().count()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) { // most carry little, some far more
            weights[i] = Math.exp(0.8 * new Random(script.seed() * 31 + i).nextGaussian());
            sum += weights[i];
        }
        AtomicLong ids = new AtomicLong();
        List<ClientStand.Ware> wares = script.products().stream().map(w -> new ClientStand.Ware(w.name(), w.part(),
                w.work(), w.sla(), w.expiry(), w.retry().equals("safe"))).toList();
        for (int i = 0; i < weights.length; i++) {
            int zone = i % zones.size();
            double usual = script.txns() * weights[i] / sum;
            boolean takesEdits = i >= devicesFrom;
            boolean state = i < script.proxies().stateOfTheWorld() * weights.length;
            ProxyStand p = new ProxyStand(proxyLoops[i % 2], transport, i, zone, zones.get(zone), usual, products,
                    doors(zone, i, takesEdits ? callRelays : relays), new ProxyStand.Manner(script.proxies().pick(), script.proxies().ejectsAfter(),
                    script.proxies().ejectsFor(), 250, 100, 1500, !state), links.from(3, zone, i), tape,
                    script.seed() * 2000 + i);
            proxies.add(p);
            if (takesEdits) {
                devices.add(new DeviceStand("proxy-" + i, zones.get(zone), usual, ownKey.getPublic(),
                        hostKeys.get(i - devicesFrom)));
                p.device(devices.get(devices.size() - 1));
            }
            List<InetSocketAddress> standing = standing(zone);
            on(proxyLoops[i % 2], () -> p.start(standing));
            clients.add(new ClientStand(clientLoop, p.port(), wares, () -> usual * rateNow, script.clients().retries(),
                    script.clients().pause(), script.clients().tryShare(), ids, tape, script.seed() * 3000 + i));
        }
    }

    /** Keys and pins of the devices, in the files that governors read. */
    private void pins(int devicesFrom) throws IOException {
        if (devicesFrom == script.proxies().count()) {
            return;
        }
        ownKey = DeviceStand.key();
        Path file = folder.resolve("governors-key");
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        StringBuilder lines = new StringBuilder();
        try (OutputStream out = Files.newOutputStream(file)) {
            OpenSSHKeyPairResourceWriter.INSTANCE.writePrivateKey(ownKey, "governors", null, out);
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
        for (int i = devicesFrom; i < script.proxies().count(); i++) {
            KeyPair key = DeviceStand.key();
            hostKeys.add(key);
            lines.append("proxy-").append(i).append(' ').append(PublicKeyEntry.toString(key.getPublic())).append('\n');
        }
        Files.writeString(folder.resolve("devices"), lines);
    }

    private int kind(int i) {
        double x = (i * 0.6180339887 + 0.5) % 1;
        int kind = 0;
        while (kind < script.kinds().size() - 1 && x >= script.kinds().get(kind).part()) {
            x -= script.kinds().get(kind++).part();
        }
        return kind;
    }

    /** Governors of its own zone first. */
    private List<ProxyStand.Door> doors(int zone, int seed, List<List<Relay>> ways) {
        List<ProxyStand.Door> near = new ArrayList<>();
        List<ProxyStand.Door> far = new ArrayList<>();
        for (GovernorProcess g : governors) {
            (g.zone == zone ? near : far)
                    .add(new ProxyStand.Door(g.number, ways.get(g.number).get(zone).port()));
        }
        Collections.shuffle(far, new Random(seed));
        near.addAll(far);
        return near;
    }

    private List<InetSocketAddress> standing(int zone) {
        List<ReplicaStand> all = new ArrayList<>(replicas.stream().filter(r -> whose == Tables.even || r.zone == zone)
                .toList());
        Collections.shuffle(all, new Random(chance.nextLong()));
        int n = whose == Tables.even ? all.size() : Math.min(script.proxies().standing(), all.size());
        return all.subList(0, n).stream().map(ReplicaStand::at).toList();
    }

    private String station(int g, int port, int calls, int rosterPort, InetAddress from, List<Integer> peers,
            List<String> zones, List<String> kinds) {
        Script.Governors c = script.governors();
        StringBuilder text = new StringBuilder();
        text.append("// station: governor ").append(g).append(" of the day ").append(script.name()).append('\n');
        text.append("name: \"governor-").append(g).append("\"\nseed: ").append(script.seed() * 100 + g);
        text.append("\nzones: ").append(strings(zones)).append("\nkinds: ").append(strings(kinds));
        text.append("\nproducts: [\n");
        for (Script.Ware w : script.products()) {
            text.append(String.format(Locale.ROOT, "\t{name: \"%s\", retry: \"%s\", sla: %.0fms, revenue: %.3f", w.name(),
                    w.retry(), w.sla(), w.revenue()));
            text.append(w.kinds().isEmpty() ? "},\n" : ", kinds: " + strings(w.kinds()) + "},\n");
        }
        text.append("]\nxds: at: \"127.0.0.1:").append(port).append("\"\n");
        if (ownKey != null) {
            text.append("netconf: {at: \"127.0.0.1:").append(calls).append("\", key: \"")
                    .append(folder.resolve("governors-key")).append("\", devices: \"").append(folder.resolve("devices"))
                    .append("\"}\n");
        }
        text.append(String.format(Locale.ROOT, "roster: {at: \"127.0.0.1:%d\", from: \"%s\", coldFrom: %.4f, "
                + "warmAfter: %.0fms, keep: \"%s\"}%n", rosterPort, from.getHostAddress(),
                script.replicas().coldFrom(), script.replicas().warmAfter(), folder.resolve("list-" + g + ".json")));
        text.append(String.format(Locale.ROOT,
                "channel: {lines: %.0f/s, head: %.1f, most: %d, messages: %d, span: %.0fms, grace: %.0fms}%n",
                c.lines(), c.head(), c.most(), c.messages(), c.span(), script.rules().grace()));
        text.append("peers: {at: \"127.0.0.1:").append(peers.get(g)).append("\", others: [");
        for (int other = 0; other < peers.size(); other++) {
            text.append(other == g ? "" : "\"127.0.0.1:" + peers.get(other) + "\", ");
        }
        return text.append("]}\n").toString();
    }

    private static String strings(List<String> all) {
        return "[" + String.join(", ", all.stream().map(s -> "\"" + s + "\"").toList()) + "]";
    }

    private interface Step {
        void run();
    }

    private static void on(Loop loop, Step step) throws InterruptedException {
        called(loop, () -> {
            step.run();
            return true;
        });
    }

    private static <T> T called(Loop loop, java.util.function.Supplier<T> step) throws InterruptedException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.hand(() -> {
            try {
                done.complete(step.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(10, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("the fleet cannot be raised", e);
        }
    }

    // Troubles. All on the roster's loop, which hands on.

    private List<ReplicaStand> struck(Script.Trouble t) {
        List<ReplicaStand> all = new ArrayList<>(replicas.stream()
                .filter(r -> t.zone() == null || script.zones().indexOf(t.zone()) == r.zone).toList());
        Collections.shuffle(all, new Random(chance.nextLong()));
        return List.copyOf(all.subList(0, (int) Math.max(1, Math.round(t.part() * all.size()))));
    }

    private List<ProxyStand> proxies(Script.Trouble t) {
        List<ProxyStand> all = new ArrayList<>(proxies.stream()
                .filter(p -> t.zone() == null || script.zones().indexOf(t.zone()) == p.zone).toList());
        Collections.shuffle(all, new Random(chance.nextLong()));
        return List.copyOf(all.subList(0, (int) Math.max(1, Math.round(t.part() * all.size()))));
    }

    private Loop loop(ReplicaStand r) {
        return replicaLoops[replicas.indexOf(r) % 2];
    }

    private Loop loop(ProxyStand p) {
        return proxyLoops[p.number % 2];
    }

    private void later(double ms, Step step) {
        rosterLoop.in(ms, step::run);
    }

    private void each(List<ReplicaStand> all, java.util.function.Consumer<ReplicaStand> what) {
        all.forEach(r -> loop(r).hand(() -> what.accept(r)));
    }

    private void proxies(List<ProxyStand> all, java.util.function.Consumer<ProxyStand> what) {
        all.forEach(p -> loop(p).hand(() -> what.accept(p)));
    }

    /** Each on the loop of the proxy whose management side it is. */
    private void devices(Script.Trouble t, java.util.function.Consumer<DeviceStand> what) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < devices.size(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(chance.nextLong()));
        int first = proxies.size() - devices.size();
        all.subList(0, (int) Math.min(all.size(), Math.max(1, Math.round(t.part() * all.size()))))
                .forEach(i -> loop(proxies.get(first + i)).hand(() -> what.accept(devices.get(i))));
    }

    private void strike(Script.Trouble t) {
        System.err.printf(Locale.ROOT, "%s%s, part %.2f, size %.2f, for %.1f s%n", t.what(),
                t.zone() == null ? "" : " in " + t.zone(), t.part(), t.size(), t.lasts() / 1000);
        switch (t.what()) {
            case "crash" -> crash(struck(t), t.lasts());
            case "hang" -> during(t, r -> r.hangs(true), r -> r.hangs(false));
            case "slow" -> during(t, r -> r.slower(t.size()), r -> r.slower(1));
            case "errors" -> during(t, r -> r.fails(Math.min(1, t.size())), r -> r.fails(0));
            case "pauses" -> pulses(struck(t), t, 200, 800, r -> r.paused(true), r -> r.paused(false));
            case "neighbour" -> pulses(struck(t), t, 2000, 2000, r -> r.taken(t.size()), r -> r.taken(0));
            case "ageing" -> ageing(struck(t), t);
            case "connections" -> during(t, r -> r.connections((int) t.size()), r -> r.connections(0));
            case "oneSided" -> during(t, r -> r.deafTo(script.zones().indexOf(t.zone())), r -> r.deafTo(-1));
            case "flapping" -> flap(struck(t), t, 0);
            case "wrongList" -> {
                List<ReplicaStand> dropped = struck(t);
                roster.learns(dropped, Entry.Stage.GONE, 0);
                later(t.lasts(), () -> roster.learns(dropped.stream().filter(ReplicaStand::up).toList(),
                        Entry.Stage.READY, 0));
            }
            case "lateList" -> {
                roster.late(t.size() * 1000);
                later(t.lasts(), () -> roster.late(0));
            }
            case "listGone" -> roster.restart();
            case "zoneCut" -> {
                int zone = script.zones().indexOf(t.zone());
                links.cut(zone, true);
                look();
                later(t.lasts(), () -> {
                    links.cut(zone, false);
                    look();
                });
            }
            case "zoneLoss" -> {
                int zone = script.zones().indexOf(t.zone());
                crash(replicas.stream().filter(r -> r.zone == zone).toList(), t.lasts());
            }
            case "burst" -> {
                rateNow = t.size();
                later(t.lasts(), () -> rateNow = 1);
            }
            case "shrink" -> {
                List<ReplicaStand> leave = struck(t);
                roster.learns(leave, Entry.Stage.DRAINING, 0);
                later(t.lasts(), () -> {
                    each(leave, ReplicaStand::crash);
                    roster.learns(leave, Entry.Stage.GONE, script.roster().notices());
                });
            }
            case "proxyCrash" -> {
                List<ProxyStand> dead = proxies(t);
                proxies(dead, ProxyStand::crash);
                later(t.lasts(), () -> proxies(dead, p -> p.start(standing(p.zone))));
            }
            case "alone" -> {
                List<ProxyStand> lone = proxies(t);
                proxies(lone, p -> p.alone(true));
                later(t.lasts(), () -> proxies(lone, p -> p.alone(false)));
            }
            case "governorCrash" -> governor(t, GovernorProcess::kill, GovernorProcess::start);
            case "governorPause" -> governor(t, g -> g.signal("STOP"), g -> g.signal("CONT"));
            case "governorStall" -> {
                for (double at = 0; at < t.lasts(); at += 3000) {
                    later(at, () -> governor(new Script.Trouble(0, t.size() * 1000, t.what(), t.part(), 1, t.zone()),
                            g -> g.signal("STOP"), g -> g.signal("CONT")));
                }
            }
            case "lockHeld" -> devices(t, d -> d.locked(t.lasts()));
            case "mute" -> devices(t, d -> d.mute((int) t.size()));
            case "drift" -> devices(t, DeviceStand::drifts);
            case "midUpdate" -> {
                if (!relays.isEmpty()) {
                    Relay r = relays.get(chance.nextInt(relays.size())).get(chance.nextInt(script.zones().size()));
                    relayLoop.hand(() -> r.breakAfter((int) t.size()));
                }
            }
            case "lateAck" -> {
                List<ProxyStand> late = proxies(t);
                proxies(late, p -> p.answersAfter(t.size() * 1000));
                later(t.lasts(), () -> proxies(late, p -> p.answersAfter(0)));
            }
            case "reject" -> proxies(proxies(t), p -> p.rejects((int) t.size()));
            case "readsNothing" -> {
                List<ProxyStand> deaf = proxies(t);
                proxies(deaf, p -> p.readsNothing(true));
                later(t.lasts(), () -> proxies(deaf, p -> p.readsNothing(false)));
            }
            default -> throw new IllegalStateException(t.what());
        }
    }

    private void look() {
        relays.forEach(all -> all.forEach(r -> relayLoop.hand(r::look)));
        callRelays.forEach(all -> all.forEach(r -> relayLoop.hand(r::look)));
    }

    private void crash(List<ReplicaStand> dead, double lasts) {
        each(dead, ReplicaStand::crash);
        roster.learns(dead, Entry.Stage.GONE, script.roster().notices());
        later(lasts, () -> start(dead));
    }

    /** They come up cold, and the list follows; one that started before its death was listed is listed anew. */
    private void start(List<ReplicaStand> dead) {
        each(dead, r -> r.start(true));
        later(20, () -> roster.learns(dead, Entry.Stage.READY, script.roster().adds()));
    }

    private void flap(List<ReplicaStand> these, Script.Trouble t, int n) {
        if (n < 3) {
            crash(these, t.lasts() / 6);
            later(t.lasts() / 3, () -> flap(these, t, n + 1));
        }
    }

    private void during(Script.Trouble t, java.util.function.Consumer<ReplicaStand> on,
            java.util.function.Consumer<ReplicaStand> off) {
        List<ReplicaStand> these = struck(t);
        each(these, on);
        later(t.lasts(), () -> each(these, off));
    }

    private void pulses(List<ReplicaStand> these, Script.Trouble t, double on, double off,
            java.util.function.Consumer<ReplicaStand> begin, java.util.function.Consumer<ReplicaStand> end) {
        for (double at = 0; at < t.lasts(); at += on + off) {
            later(at, () -> each(these, begin));
            later(at + on, () -> each(these, end));
        }
    }

    private void ageing(List<ReplicaStand> these, Script.Trouble t) {
        for (double at = 0; at < t.lasts(); at += 1000) {
            double times = 1 + (t.size() - 1) * at / Math.max(1, t.lasts());
            later(at, () -> each(these, r -> r.slower(times)));
        }
        later(t.lasts(), () -> crash(these, 2000));
    }

    private void governor(Script.Trouble t, java.util.function.Consumer<GovernorProcess> on,
            java.util.function.Consumer<GovernorProcess> off) {
        int n = (int) Math.max(1, Math.round(t.part() * governors.size()));
        List<GovernorProcess> all = new ArrayList<>(governors.stream()
                .filter(g -> t.zone() == null || script.zones().indexOf(t.zone()) == g.zone).toList());
        Collections.shuffle(all, new Random(chance.nextLong()));
        List<GovernorProcess> these = List.copyOf(all.subList(0, Math.min(n, all.size())));
        these.forEach(on);
        later(t.lasts(), () -> these.forEach(off));
    }

    // What came of it.

    private Outcome outcome(double cpu, double memory) {
        List<Boolean> once = script.products().stream().map(w -> w.retry().equals("once")).toList();
        Limits limits = new Limits(script.rules().grace(), script.rules().bare(), script.replicas().coldFrom(),
                script.replicas().warmAfter(), script.rules().tip(), script.rules().fall(),
                Math.max(1, script.governors().most()), script.governors().lines() / 1000, script.governors().head(),
                script.governors().messages(), script.governors().span(), once,
                false);
        List<Seen> seen = tape.inOrder();
        List<Verdict> verdicts = Judge.judge(seen, limits);
        Figures figures = new Figures(script, seen, verdicts, tape.overflowed());
        return figures.outcome(whose, lasts, cpu, memory, governors, new ObjectMapper());
    }
}
