package sprucelanding.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sprucelanding.Choice;
import sprucelanding.capture.Overheard;
import sprucelanding.core.Ear;
import sprucelanding.core.Round;
import sprucelanding.core.Shared;
import sprucelanding.core.Straight;
import sprucelanding.delivery.Holder;
import sprucelanding.delivery.Message;
import sprucelanding.roster.Entry;
import sprucelanding.station.Parts;
import sprucelanding.station.Station;

/**
 * A governor's process: the core of the service on virtual time, which can die, start anew, or be
 * paused.
 */
final class Office implements Round.Host {
    private static final double ROUND = 0.1; // ms until a batch of what came is settled
    static final double STARTS = 900; // ms from its start until it listens
    private static final double LEAVES = 3000; // ms that a planned stop may take

    final int number;
    final int zone;
    final Set<Stream> streams = new LinkedHashSet<>();
    private final World world;
    private final Station station;
    private final ArrayDeque<Consumer<Shared>> steps = new ArrayDeque<>();
    private final Histogram inForce = new Histogram(600_000_000L, 3);
    private Shared shared;
    private String kept;
    private int life;
    private boolean paused;
    private boolean planned;
    private boolean watches;
    private double writtenBy;
    private int breakZone = -1;
    private int breakAfter;
    private boolean alone;
    private long highest;
    private long sharingNanos;
    private int bugs;
    private double longest;

    Office(World world, int number, int zone, Station station) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.station = station;
    }

    void start() {
        if (shared != null) {
            return;
        }
        int me = ++life;
        world.clock.in(
                me == 1 ? 0 : STARTS,
                () -> {
                    if (me != life) {
                        return;
                    }
                    Choice choice = Parts.module(station);
                    Overheard.Sink sink = world.capture(number, me);
                    Overheard overheard =
                            sink == null ? null : new Overheard(new Straight(choice), sink);
                    highest = Math.max((long) now(), highest + 1);
                    shared =
                            new Shared(
                                    this,
                                    (to, message) -> world.tell(number, to, message),
                                    Parts.sharing(station, highest, now()),
                                    world.zones::indexOf,
                                    host ->
                                            Parts.round(
                                                    station,
                                                    host,
                                                    choice,
                                                    sink == null ? new Straight(choice) : overheard,
                                                    sink == null ? Ear.NONE : overheard,
                                                    0));
                    shared.start(kept, station.roster().pushed(), station.reports().every());
                    shared.settle();
                });
    }

    void dies() {
        life++;
        shared = null;
        paused = false;
        planned = false;
        watches = false;
        steps.clear();
        Set.copyOf(streams).forEach(Stream::ended);
    }

    void pauses(boolean on) {
        paused = on;
        Set.copyOf(streams).forEach(Stream::look);
        if (!on) {
            plan();
        }
    }

    boolean alive() {
        return shared != null;
    }

    boolean paused() {
        return paused;
    }

    double every() {
        return station.reports().every();
    }

    int bugs() {
        return bugs;
    }

    Histogram inForce() {
        return inForce;
    }

    /** From the world; what comes while it is paused waits. */
    void hand(Consumer<Shared> step) {
        if (alive()) {
            steps.add(step);
            plan();
        }
    }

    private void plan() {
        if (!planned && !paused && alive() && !steps.isEmpty()) {
            planned = true;
            int me = life;
            world.clock.in(
                    ROUND,
                    () -> {
                        planned = false;
                        if (me == life && !paused) {
                            settle();
                        }
                    });
        }
    }

    private void settle() {
        while (!steps.isEmpty()) {
            steps.poll().accept(shared);
        }
        shared.settle();
        highest = Math.max(highest, shared.highest());
    }

    /** When its writing threads have done with so much more. */
    double writes(double takes) {
        writtenBy = Math.max(writtenBy, now()) + takes;
        return writtenBy;
    }

    /** Another governor said something. */
    void heard(Object message) {
        hand(
                s -> {
                    long began = System.nanoTime();
                    s.heard(message);
                    sharingNanos += System.nanoTime() - began;
                });
    }

    /** ms of this machine that what other governors said took so far. */
    double sharingTook() {
        return sharingNanos / 1e6;
    }

    /** Its proxies and it do not hear each other. */
    void alone(boolean on) {
        alone = on;
        Set.copyOf(streams).forEach(Stream::look);
    }

    boolean alone() {
        return alone;
    }

    /** Planned: its proxies are sent on, then it ends. */
    void stops() {
        int me = life;
        hand(
                s ->
                        s.leaves(
                                () ->
                                        world.clock.in(
                                                1,
                                                () -> {
                                                    if (me == life) {
                                                        dies();
                                                    }
                                                })));
        world.clock.in(
                LEAVES,
                () -> {
                    if (me == life) {
                        dies();
                    }
                });
    }

    /**
     * Looked at right before a write, as the fronts do; a governor that may not write any more ends
     * the stream.
     */
    boolean mayWrite(Message m) {
        if (m.to.lease().holds(now()) && !paused) {
            return true;
        }
        if (!paused) {
            ((Stream) m.to.stream).ended();
        }
        return false;
    }

    String voice(Holder to) {
        return station.name() + (to.lease().epoch() == 0 ? "" : "#" + to.lease().epoch());
    }

    void breaksAfter(int zone, int bytes) {
        breakZone = zone;
        breakAfter = bytes;
    }

    /** Whether a message to that zone breaks its stream, in the middle. */
    boolean breaks(int to, Message m) {
        if (to != breakZone) {
            return false;
        }
        breakAfter -= 60 + 90 * m.lines();
        if (breakAfter >= 0) {
            return false;
        }
        breakZone = -1;
        return true;
    }

    boolean watches() {
        return watches;
    }

    @Override
    public double now() {
        return world.clock.now();
    }

    @Override
    public void at(double time, Runnable step) {
        int me = life;
        world.clock.at(
                time,
                () -> {
                    if (me == life) {
                        steps.add(s -> step.run());
                        if (!paused) {
                            settle();
                        }
                    }
                });
    }

    @Override
    public void send(Object way, Message message) {
        ((Stream) way).down(message);
    }

    @Override
    public void end(Object way, Holder holder, boolean busy, String why) {
        ((Stream) way).ended();
    }

    @Override
    public void probe(Entry replica) {
        int me = life;
        Server s = world.server(replica.id());
        boolean[] done = new boolean[1];
        Server.Asker asker =
                new Server.Asker() {
                    private void done(Choice.Answer answer, double load) {
                        if (!done[0]) {
                            done[0] = true;
                            if (me == life) {
                                hand(s -> s.round().probed(replica.id(), answer, load));
                            }
                        }
                    }

                    @Override
                    public void answered(int status, boolean unrun, double util) {
                        done(status < 0 ? Choice.Answer.SILENT : Choice.Answer.OK, util);
                    }

                    @Override
                    public void broke() {
                        done(Choice.Answer.UNREACHABLE, Double.NaN);
                    }
                };
        world.clock.in(station.probes().timeout(), () -> asker.answered(-1, false, Double.NaN));
        world.clock.in(2 * World.HOP, () -> s.probe(asker, zone));
    }

    @Override
    public void tellPeers(byte[] note) {
        // Choice asks for none so far
    }

    @Override
    public void watchList() {
        watches = true;
        world.roster.opens(this);
    }

    @Override
    public void inForce(Object way, double after) {
        inForce.recordValue((long) Math.max(0, after * 1000));
        longest = Math.max(longest, after);
    }

    /** ms of the longest order to come in force since this was last asked. */
    double longest() {
        double most = longest;
        longest = 0;
        return most;
    }

    /** The roster tells something. */
    void told(String text) {
        hand(
                s -> {
                    if (s.round().told(text)) {
                        kept = s.round().roll();
                    } else {
                        world.roster.opens(this);
                    }
                });
    }

    @Override
    public void listed(Entry entry) {
        // addresses do not matter here
    }

    @Override
    public void log(String text, Object... figures) {
        world.log(number, text, figures);
    }

    @Override
    public void bug(RuntimeException e) {
        bugs++;
        world.log(number, "BUG: a decision failed", "why", e.toString());
    }
}
