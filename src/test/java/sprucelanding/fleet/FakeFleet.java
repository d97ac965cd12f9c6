package sprucelanding.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Governors on a network that loses, delays and doubles; each has a clock of its own pace, and can die, stop or be cut off. */
final class FakeFleet {
    static final double STEP = 10;
    static final double LEASE = 1500;
    static final double DRIFT = 0.02;
    static final int SLOTS = 12;

    private record Due(double at, long order, int from, int to, Consumer<Node> what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    final class Node implements Peers.Acts, Leases.Acts {
        final int id;
        final double offset;
        final double pace;
        long life;
        Peers peers;
        Leases leases;
        boolean up;
        double pausedUntil;
        final List<Consumer<Node>> inbox = new ArrayList<>();

        Node(int id) {
            this.id = id;
            this.offset = chance.nextDouble() * 1e6;
            this.pace = 1 + (chance.nextDouble() - 0.5) * DRIFT;
        }

        double clock() {
            return offset + now * pace;
        }

        boolean runs() {
            return up && now >= pausedUntil;
        }

        void starts() {
            if (!up) {
                up = true;
                life = (long) (1_700_000_000_000L + now + wallJump);
                inbox.clear();
                Set<Integer> all = new TreeSet<>();
                nodes.forEach(n -> all.add(n.id));
                peers = new Peers(id, life, all, 100, 500, 500);
                leases = new Leases(id, life, nodes.size(), SLOTS, LEASE, DRIFT, quarantine, 4, clock());
            }
        }

        void works() {
            peers.clock(clock());
            leases.clock(clock());
            inbox.forEach(m -> m.accept(this));
            inbox.clear();
            while (peers.decide(this)) {
                continue;
            }
            leases.live(peers.live());
            while (leases.decide(this)) {
                continue;
            }
        }

        private void toAll(Consumer<Node> what) {
            nodes.stream().filter(n -> n != this).forEach(n -> send(id, n.id, what));
        }

        @Override
        public void beat(Peers.Beat beat) {
            beats++;
            toAll(n -> n.peers.heard(beat));
        }

        @Override
        public void changed(int other, Peers.State state) {
            story.add(Math.round(now) + " " + id + " holds " + other + " for " + state);
        }

        @Override
        public void ask(Leases.Ask ask) {
            toAll(n -> n.leases.asked(ask));
        }

        @Override
        public void grant(Leases.Grant grant) {
            send(id, grant.to(), n -> n.leases.granted(grant));
        }

        @Override
        public void release(Leases.Release release) {
            toAll(n -> n.leases.released(release));
        }

        @Override
        public void owned(int slot, long epoch) {
            story.add(Math.round(now) + " " + id + " owns " + slot + " under " + epoch);
            if (epoch <= lastEpoch[slot]) {
                faults.add("at " + now + " epoch " + epoch + " of slot " + slot + " after " + lastEpoch[slot]);
            }
            lastEpoch[slot] = epoch;
        }

        @Override
        public void lost(int slot, long epoch) {
            story.add(Math.round(now) + " " + id + " lost " + slot);
        }
    }

    final SplittableRandom chance;
    final List<Node> nodes = new ArrayList<>();
    final List<String> story = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    final Set<Integer> cut = new HashSet<>();
    private final PriorityQueue<Due> wires = new PriorityQueue<>();
    private final long[] lastEpoch = new long[SLOTS];
    private final double quarantine;
    double loss;
    double wallJump;
    double now = 1000;
    long beats;
    private long order;

    FakeFleet(int count, long seed, double quarantine) {
        this.chance = new SplittableRandom(seed);
        this.quarantine = quarantine;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::starts);
    }

    private void send(int from, int to, Consumer<Node> what) {
        if (cut.contains(from * 64 + to) || chance.nextDouble() < loss) {
            return;
        }
        int copies = chance.nextDouble() < 0.05 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            wires.add(new Due(now + 1 + chance.nextDouble() * 40, order++, from, to, what));
        }
    }

    /** Nothing gets from one to the other; the way back stays as it is. */
    void cut(int from, int to, boolean on) {
        if (on) {
            cut.add(from * 64 + to);
        } else {
            cut.remove(from * 64 + to);
        }
    }

    void runs(double ms) {
        for (double end = now + ms; now < end; now += STEP) {
            while (!wires.isEmpty() && wires.peek().at <= now) {
                Due d = wires.poll();
                Node to = nodes.get(d.to);
                if (to.up) {
                    to.inbox.add(d.what);
                }
            }
            nodes.stream().filter(Node::runs).forEach(Node::works);
            for (int s = 0; s < SLOTS; s++) {
                if (owners(s).size() > 1) {
                    faults.add("at " + now + " slot " + s + " has the owners " + owners(s));
                }
            }
        }
    }

    /** Those that would write for a slot right now. */
    List<Integer> owners(int slot) {
        return nodes.stream().filter(n -> n.runs() && n.leases.owns(slot, n.clock())).map(n -> n.id).toList();
    }

    int unowned() {
        int n = 0;
        for (int s = 0; s < SLOTS; s++) {
            n += owners(s).isEmpty() ? 1 : 0;
        }
        return n;
    }

    void heals() {
        cut.clear();
        loss = 0;
        nodes.forEach(n -> {
            n.pausedUntil = 0;
            n.starts();
        });
    }

    void dies(int id) {
        nodes.get(id).up = false;
    }

    void pauses(int id, double ms) {
        nodes.get(id).pausedUntil = now + ms;
    }
}
