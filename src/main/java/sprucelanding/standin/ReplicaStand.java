package sprucelanding.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.loop.Conn;
import sprucelanding.loop.Http;
import sprucelanding.loop.Loop;
import sprucelanding.rules.Seen;
import sprucelanding.rules.Tape;

/**
 * A replica: HTTP/1.1, cores shared by the txns that run, a waiting room, a cold start, its load in every answer (ORCA, text
 * form). A request is POST /PRODUCT with x-txn, x-work (ms), x-proxy and x-attempt. All calls come on its loop's thread.
 */
public final class ReplicaStand {
    /**
     * What it can do.
     *
     * @param speed of a core, 1 being usual
     * @param slots txns that run at a time
     * @param room txns that wait
     * @param coldFrom share of its speed right after a start
     * @param warmAfter ms until it has all of it
     * @param connections it accepts
     */
    public record Machine(int cores, double speed, int slots, int room, double coldFrom, double warmAfter,
            int connections) {
    }

    private static final class Job {
        final Conn conn;
        final int product;
        final long txn;
        final int proxy;
        final int attempt;
        final double work;
        final double came;
        double left;

        Job(Conn conn, int product, long txn, int proxy, int attempt, double work, double came) {
            this.conn = conn;
            this.product = product;
            this.txn = txn;
            this.proxy = proxy;
            this.attempt = attempt;
            this.work = work;
            this.came = came;
            this.left = work;
        }
    }

    private static final int UNREAD = 65_536;
    private static final double PROBE_WORK = 2;
    private static final double SECOND = 1000;

    public final long id;
    public final int zone;
    public final int kind;
    public final Machine machine;
    private final Loop loop;
    private final InetSocketAddress at;
    private final List<String> products;
    private final Links links;
    private final Tape tape;
    private final SplittableRandom chance;
    private ServerSocketChannel server;
    private final Set<Conn> conns = new HashSet<>();
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private double startedAt;
    private double advancedAt;
    private double busy;
    private double serviceTime;
    private Loop.Timer next;
    private boolean hangs;
    private double slower = 1;
    private double fails;
    private double taken;
    private boolean paused;
    private int deafTo = -1;
    private int fewer;
    private long served;

    public ReplicaStand(Loop loop, long id, int zone, int kind, InetSocketAddress at, Machine machine,
            List<String> products, Links links, Tape tape, long seed) {
        this.loop = loop;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.at = at;
        this.machine = machine;
        this.products = products;
        this.links = links;
        this.tape = tape;
        this.chance = new SplittableRandom(seed);
    }

    public InetSocketAddress at() {
        return at;
    }

    public boolean up() {
        return server != null;
    }

    /** When its process began, on the loop's clock; 0: long before the day. */
    public double startedAt() {
        return startedAt;
    }

    public long served() {
        return served;
    }

    public void start(boolean cold) {
        if (server != null) {
            return;
        }
        startedAt = cold ? Loop.now() : 0;
        advancedAt = Loop.now();
        busy = 0;
        if (cold) {
            tape.saw(new Seen.Started(startedAt, id, machine.cores * machine.speed));
        }
        server = loop.listen(at, machine.connections, this::accepted);
    }

    /** Its process dies: connections break, what ran or waited is lost. */
    public void crash() {
        if (server == null) {
            return;
        }
        try {
            server.close();
        } catch (IOException e) {
            // it is down either way
        }
        server = null;
        tape.saw(new Seen.Stopped(Loop.now(), id));
        List.copyOf(conns).forEach(Conn::reset);
        conns.clear();
        running.clear();
        waiting.clear();
        hangs = false;
        slower = 1;
        fails = 0;
        taken = 0;
        paused = false;
        deafTo = -1;
    }

    /** It takes txns and answers none. */
    public void hangs(boolean on) {
        advance();
        hangs = on;
        plan();
    }

    /** Its cores run so many times slower. */
    public void slower(double times) {
        advance();
        slower = Math.max(1, times);
        plan();
    }

    /** It fails this share of its txns at once. */
    public void fails(double share) {
        fails = share;
    }

    /** Another program takes this share of the machine. */
    public void taken(double share) {
        advance();
        taken = Math.min(0.99, share);
        plan();
    }

    public void paused(boolean on) {
        advance();
        paused = on;
        plan();
    }

    /** It hears nothing from this zone, though no other party of the zone is cut off; -1: it hears all. */
    public void deafTo(int deaf) {
        deafTo = deaf;
    }

    /** It accepts so many connections at most; 0: as many as its machine says. */
    public void connections(int most) {
        fewer = most;
    }

    private void accepted(SocketChannel channel) {
        InetAddress from = channel.socket().getInetAddress();
        Conn conn = loop.adopt(channel, UNREAD, new Conn.Listener() {
            private Conn own;
            private final Http http = new Http(m -> request(own, m));

            @Override
            public void received(Conn c, ByteBuffer in) throws IOException {
                own = c;
                if (links.open(from, zone) && (deafTo < 0 || links.zone(from) != deafTo)) { // across a cut nothing arrives, and nobody says so
                    http.received(in);
                }
            }

            @Override
            public void closed(Conn c, String why) {
                conns.remove(c);
            }
        });
        conns.add(conn);
        if (conns.size() > (fewer > 0 ? fewer : machine.connections)) {
            conn.reset();
        }
    }

    private double util() {
        return Math.min(1, busy);
    }

    private String report() {
        return String.format(Locale.ROOT, "TEXT cpu_utilization=%.3f, named_metrics.inflight=%d, "
                + "named_metrics.latency_ms=%.1f", util(), running.size() + waiting.size(), serviceTime);
    }

    private void request(Conn conn, Http.Message m) {
        advance();
        if (m.second().equals("/probe")) {
            if (hangs || paused) {
                return;
            }
            enter(new Job(conn, -1, 0, -1, 0, PROBE_WORK, Loop.now()));
            return;
        }
        int product = products.indexOf(m.second().substring(1));
        long txn = (long) m.number("x-txn", -1);
        double work = m.number("x-work", -1);
        int proxy = (int) m.number("x-proxy", -1);
        int attempt = (int) m.number("x-attempt", 0);
        if (product < 0 || txn < 0 || !(work >= 0)) {
            conn.write(Http.response(400));
            return;
        }
        double now = Loop.now();
        tape.saw(new Seen.Sent(now, proxy, id, product, txn, attempt, work));
        if (hangs) {
            return;
        }
        if (chance.nextDouble() < fails) {
            conn.write(Http.response(500, "endpoint-load-metrics", report()));
            return;
        }
        if (waiting.size() >= machine.room) { // proof that it never ran
            conn.write(Http.response(503, "x-unrun", "1", "endpoint-load-metrics", report()));
            return;
        }
        enter(new Job(conn, product, txn, proxy, attempt, work, now));
    }

    private void enter(Job job) {
        if (job.product < 0 || running.size() < machine.slots) {
            begin(job);
        } else {
            waiting.add(job);
        }
        plan();
    }

    private void begin(Job job) {
        running.add(job);
        if (job.product >= 0) {
            tape.saw(new Seen.Effect(Loop.now(), id, job.product, job.txn, job.proxy, job.attempt));
        }
    }

    private double warm(double now) {
        double age = now - startedAt;
        return startedAt == 0 || age >= machine.warmAfter ? 1
                : machine.coldFrom + (1 - machine.coldFrom) * age / machine.warmAfter;
    }

    /** ms of work a ms that one running txn gets done. */
    private double rate(double now) {
        if (hangs || paused || running.isEmpty()) {
            return 0;
        }
        double cores = machine.cores * (1 - taken);
        return machine.speed / slower * warm(now) * Math.min(1, cores / running.size());
    }

    private void advance() {
        double now = Loop.now();
        double span = now - advancedAt;
        if (span <= 0) {
            return;
        }
        double done = span * rate(now);
        running.forEach(job -> job.left -= done);
        double share = hangs ? 0 : Math.min(1, running.size() / (machine.cores * (1 - taken)));
        busy += (share - busy) * (1 - Math.exp(-span / SECOND));
        advancedAt = now;
        for (int i = 0; i < running.size(); i++) {
            Job job = running.get(i);
            if (job.left <= 1e-6) {
                running.remove(i--);
                answer(job, now);
                Job other = waiting.poll();
                if (other != null) {
                    begin(other);
                }
            }
        }
    }

    private void answer(Job job, double now) {
        if (job.product >= 0) {
            served++;
            serviceTime += (now - job.came - serviceTime) * 0.1;
        }
        job.conn.write(Http.response(200, "endpoint-load-metrics", report()));
    }

    private void plan() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        double rate = rate(Loop.now());
        if (rate > 0) {
            double least = running.stream().mapToDouble(job -> job.left).min().orElse(0);
            next = loop.in(Math.min(50, Math.max(0, least / rate)), () -> {
                advance();
                plan();
            });
        }
    }
}
