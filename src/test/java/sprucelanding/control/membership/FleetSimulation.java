package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Governors and plain proxies on a network that loses, delays and doubles what governors tell each
 * other. Each governor has a clock of its own pace, and can die, stop or be cut off; a proxy has
 * one stream, and dials the next when that breaks or is silent. Every governor writes to every
 * proxy whenever it may: what proxies read is checked.
 */
final class FleetSimulation {
    static final double STEP_MILLIS = 10;
    static final double LEASE_MILLIS = 1500;
    static final double MAX_CLOCK_DRIFT = 0.02;

    private record ScheduledTask(double dueAt, long order, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueAt != other.dueAt
                    ? Double.compare(dueAt, other.dueAt)
                    : Long.compare(order, other.order);
        }
    }

    final class Node implements FleetMember.Actions {
        final int id;
        final double offset;
        final double pace;
        final Map<Long, FleetProxy.Stream> streams = new HashMap<>();
        final Set<Long> writableProxies = new TreeSet<>();
        final List<EvidenceExchange.EndpointObservation> observations = new ArrayList<>();
        long generation;

        /** What its file holds. */
        long storedEpoch;

        FailureDetector failureDetector;
        Leases leases;
        FleetMember member;
        boolean up;
        double pausedUntil;
        private final List<Runnable> inbox = new ArrayList<>();

        Node(int id) {
            this.id = id;
            this.offset = random.nextDouble() * 1e6;
            this.pace = 1 + (random.nextDouble() - 0.5) * MAX_CLOCK_DRIFT;
        }

        double clock() {
            return offset + now * pace;
        }

        boolean isRunning() {
            return up && now >= pausedUntil;
        }

        void start() {
            if (!up) {
                up = true;
                generation =
                        Math.max(
                                (long) (1_700_000_000_000L + now + wallClockJumpMillis),
                                storedEpoch + 1);
                inbox.clear();
                streams.clear();
                writableProxies.clear();
                Set<Integer> governorIds = new TreeSet<>();
                nodes.forEach(node -> governorIds.add(node.id));
                failureDetector = new FailureDetector(id, generation, governorIds, 100, 500, 500);
                leases =
                        new Leases(
                                id,
                                generation,
                                nodes.size(),
                                LEASE_MILLIS,
                                MAX_CLOCK_DRIFT,
                                quarantineMillis,
                                clock());
                member =
                        new FleetMember(
                                failureDetector,
                                leases,
                                new ProxyQuota(id, leases, capacity, 0, clock()),
                                new EvidenceExchange(id, generation, 1000, 300, false, clock()));
            }
        }

        /** What comes to this life of it; while it stands still it waits. */
        void deliver(long targetGeneration, Runnable task) {
            if (up && generation == targetGeneration) {
                inbox.add(task);
            }
        }

        void streamEnded(FleetProxy.Stream stream) {
            if (streams.remove(stream.proxy().key(), stream)) {
                writableProxies.remove(stream.proxy().key());
                member.onProxyDisconnected(stream.proxy().key());
            }
        }

        void runStep() {
            storedEpoch = leases.highestEpoch();
            member.advanceTo(clock());
            inbox.forEach(Runnable::run);
            inbox.clear();
            while (member.decide(this)) {
                continue;
            }
            for (Map.Entry<Long, FleetProxy.Stream> entry : streams.entrySet()) {
                if (writableProxies.contains(entry.getKey())
                        && member.writeDeadline(entry.getKey()) > clock()) {
                    FleetProxy.Stream stream = entry.getValue();
                    long epoch = leases.epochOf(entry.getKey());
                    schedule(
                            1 + random.nextDouble() * 3,
                            () -> stream.proxy().onWrite(stream, epoch));
                }
            }
        }

        @Override
        public void sendToPeers(int recipient, Object message) {
            messagesSent++;
            nodes.stream()
                    .filter(node -> node != this && (recipient < 0 || recipient == node.id))
                    .forEach(
                            node -> {
                                if (cutLinks.contains(id * 64 + node.id)
                                        || random.nextDouble() < lossProbability) {
                                    return;
                                }
                                for (int copies = random.nextDouble() < 0.05 ? 2 : 1;
                                        copies > 0;
                                        copies--) {
                                    schedule(
                                            1 + random.nextDouble() * 40,
                                            () ->
                                                    node.deliver(
                                                            node.generation,
                                                            () ->
                                                                    node.member.onPeerMessage(
                                                                            message)));
                                }
                            });
        }

        @Override
        public void allowWrites(long proxy, long epoch) {
            writableProxies.add(proxy);
            eventLog.add(
                    Math.round(now)
                            + " "
                            + id
                            + " may write to "
                            + name(proxy)
                            + " under "
                            + epoch);
        }

        @Override
        public void suspendWrites(long proxy) {
            writableProxies.remove(proxy);
            eventLog.add(Math.round(now) + " " + id + " waits for " + name(proxy));
        }

        @Override
        public void endStream(long proxy, boolean busy, String reason) {
            FleetProxy.Stream stream = streams.get(proxy);
            eventLog.add(Math.round(now) + " " + id + " ends " + name(proxy) + ": " + reason);
            if (stream != null) {
                schedule(
                        2,
                        () -> {
                            if (stream.proxy().stream() == stream
                                    && !governorsCutFromProxies.contains(id)) {
                                stream.proxy().reconnect();
                            }
                        });
                streamEnded(stream);
            }
        }

        @Override
        public void applyObservation(EvidenceExchange.EndpointObservation observation) {
            observations.add(observation);
        }

        @Override
        public void logEvent(String text, Object... figures) {
            eventLog.add(Math.round(now) + " " + id + " " + text + " " + List.of(figures));
        }
    }

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final List<FleetProxy> proxies = new ArrayList<>();
    final List<String> eventLog = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Set<Integer> cutLinks = new HashSet<>();
    final Set<Integer> governorsCutFromProxies = new HashSet<>();
    private final Map<String, Integer> writersByProxyAndEpoch = new HashMap<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private final double quarantineMillis;
    private final int capacity;
    double keepaliveMillis = 1200;
    double lossProbability;
    double wallClockJumpMillis;
    double now = 1000;
    long messagesSent;
    private long order;

    FleetSimulation(int governors, int proxies, long seed, double quarantineMillis) {
        this(governors, proxies, seed, quarantineMillis, 64);
    }

    /**
     * @param capacity proxies that each governor says it is configured for
     */
    FleetSimulation(int governors, int proxies, long seed, double quarantineMillis, int capacity) {
        this.capacity = capacity;
        this.random = new SplittableRandom(seed);
        this.quarantineMillis = quarantineMillis;
        for (int i = 0; i < governors; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::start);
        for (int i = 0; i < proxies; i++) {
            FleetProxy proxy = new FleetProxy(this, i);
            this.proxies.add(proxy);
            schedule(random.nextDouble() * 100, proxy::connect);
        }
    }

    private String name(long key) {
        return proxies.stream()
                .filter(proxy -> proxy.key() == key)
                .map(proxy -> "proxy " + proxy.number())
                .findFirst()
                .orElse("?");
    }

    void schedule(double millis, Runnable task) {
        scheduledTasks.add(new ScheduledTask(now + millis, order++, task));
    }

    /** Nothing gets from one governor to the other; the way back stays as it is. */
    void setLinkCut(int from, int recipient, boolean on) {
        if (on) {
            cutLinks.add(from * 64 + recipient);
        } else {
            cutLinks.remove(from * 64 + recipient);
        }
    }

    void isolate(int id, boolean on) {
        nodes.forEach(
                node -> {
                    setLinkCut(id, node.id, on && node.id != id);
                    setLinkCut(node.id, id, on && node.id != id);
                });
    }

    /** Its proxies and it do not hear each other, whatever governors do. */
    void setCutFromProxies(int id, boolean on) {
        if (on) {
            governorsCutFromProxies.add(id);
        } else {
            governorsCutFromProxies.remove(id);
        }
    }

    boolean isCutFromProxies(int id) {
        return governorsCutFromProxies.contains(id);
    }

    /** The governor that wrote first to a proxy under an epoch before; null if none did. */
    Integer recordWriter(long proxy, long epoch, int governor) {
        return writersByProxyAndEpoch.putIfAbsent(proxy + "/" + epoch, governor);
    }

    void runFor(double millis) {
        for (double end = now + millis; now < end; now += STEP_MILLIS) {
            while (!scheduledTasks.isEmpty() && scheduledTasks.peek().dueAt <= now) {
                scheduledTasks.poll().task.run();
            }
            nodes.stream().filter(Node::isRunning).forEach(Node::runStep);
            proxies.forEach(FleetProxy::checkKeepalive);
            for (FleetProxy proxy : proxies) {
                List<Integer> owners = owners(proxy);
                if (owners.size() > 1) {
                    violations.add(
                            "at " + now + " proxy " + proxy.number() + " has the owners " + owners);
                }
            }
        }
    }

    /** Those that have a majority's promise for it right now, by their own word. */
    List<Integer> owners(FleetProxy proxy) {
        return nodes.stream()
                .filter(
                        node ->
                                node.isRunning()
                                        && node.leases.isOwner(proxy.key())
                                        && node.leases.writeDeadline(proxy.key()) > node.clock())
                .map(node -> node.id)
                .toList();
    }

    int unownedCount() {
        return (int)
                proxies.stream()
                        .filter(
                                proxy ->
                                        proxy.stream() == null
                                                || !owners(proxy)
                                                        .contains(proxy.stream().node().id))
                        .count();
    }

    int ownedCount(int id) {
        return (int) proxies.stream().filter(proxy -> owners(proxy).contains(id)).count();
    }

    void heal() {
        cutLinks.clear();
        governorsCutFromProxies.clear();
        lossProbability = 0;
        nodes.forEach(
                node -> {
                    node.pausedUntil = 0;
                    node.start();
                });
    }

    void kill(int id) {
        Node node = nodes.get(id);
        node.up = false;
        proxies.stream()
                .filter(proxy -> proxy.stream() != null && proxy.stream().node() == node)
                .forEach(
                        proxy ->
                                schedule(
                                        2,
                                        () -> {
                                            if (proxy.stream() != null
                                                    && proxy.stream().node() == node
                                                    && proxy.stream().generation()
                                                            == node.generation) {
                                                proxy.reconnect();
                                            }
                                        }));
    }

    void pause(int id, double millis) {
        nodes.get(id).pausedUntil = now + millis;
    }

    /** The longest that any proxy had nobody who might write to it, since this was last asked. */
    double takeLongestGapMillis() {
        double longestGapMillis = 0;
        for (FleetProxy proxy : proxies) {
            longestGapMillis = Math.max(longestGapMillis, proxy.takeLongestGapMillis());
        }
        return longestGapMillis;
    }
}
