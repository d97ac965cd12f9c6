package sprucelanding.governor;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sprucelanding.Choice;
import sprucelanding.Orders;
import sprucelanding.Product;
import sprucelanding.Proxy;
import sprucelanding.Replica;
import sprucelanding.delivery.Acts;
import sprucelanding.delivery.Admission;
import sprucelanding.delivery.Delivery;
import sprucelanding.delivery.Holder;
import sprucelanding.delivery.Kind;
import sprucelanding.delivery.Message;
import sprucelanding.delivery.Name;
import sprucelanding.intake.Intake;
import sprucelanding.intake.Report;
import sprucelanding.intake.Sums;
import sprucelanding.loop.Loop;
import sprucelanding.roster.Entry;
import sprucelanding.roster.Roll;

/**
 * The core. Each round of the loop takes what came (the inputs of Choice), then pulls decisions until there is none: from
 * Choice its orders, from Admission who is let in, from Delivery the messages. What Choice orders in one round is one
 * moment. Open it with build, add fronts, then start.
 */
public final class Governor implements Core, Site {
    private static final Logger LOG = LoggerFactory.getLogger(Governor.class);
    private static final int PROXIES = 65_535;
    private static final double LOOK = 100; // ms between looks at who is behind
    private static final double FIGURES = 10_000; // ms between lines with the figures
    private static final int NOTE = 256;

    /** Names of the site, by position. */
    public record Names(List<String> products, List<String> zones, List<String> kinds) {
    }

    /** How the list comes: where it is told, the own address to dial from (or null), and whether it comes unasked. */
    public record Listing(InetSocketAddress at, InetSocketAddress from, boolean pushed, Path kept) {
    }

    /** Probes: whether they are allowed, and ms until one counts as unanswered. */
    public record Probing(boolean allowed, double timeout) {
    }

    private final Loop loop = new Loop("core");
    private final Names names;
    private final Choice choice;
    private final Delivery delivery;
    private final Admission admission;
    private final Intake intake;
    private final Roll roll;
    private final Listing listing;
    private final Probing probing;
    private final boolean byRate;
    private final Keep keep;
    private final RosterLink link;
    private final List<Front> fronts = new ArrayList<>();
    private final List<InetSocketAddress> peers = new ArrayList<>();
    private DatagramChannel datagrams;
    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final AtomicInteger nextNumber = new AtomicInteger();
    private final Map<Long, Entry> replicas = new ConcurrentHashMap<>();
    private final Map<String, Long> ids = new ConcurrentHashMap<>();
    /** Those that dialled, waiting or in, by number. */
    private final Map<Integer, Dialled> dialled = new HashMap<>();
    private final Hand hand = new Hand();
    private final Does does = new Does();
    private final Map<Front, Tally> tallies = new LinkedHashMap<>();
    private double longestRound;
    /** Lines that Choice's model of the channel holds: the most, and how far above and below those unanswered. */
    private double modelMost;
    private double modelOver;
    private double modelUnder;
    private boolean answered;
    private boolean receipted;
    private final double wallOffset = System.currentTimeMillis() - Loop.now();
    /** When the moment of each receipt was. */
    private final double[] momentOf = new double[65_536];
    private double moment;
    private boolean ordered;
    private boolean watching;
    /** None was told yet, nor kept from before. */
    private boolean firstList;
    private long orders;
    private Thread thread;

    private record Dialled(Front front, Holder holder, String zone, double usual, boolean bare, boolean[] in) {
    }

    public Governor(Choice choice, Names names, Listing listing, Probing probing, boolean byRate, Delivery delivery,
            Admission admission, Intake intake) {
        this.choice = choice;
        this.names = names;
        this.listing = listing;
        this.probing = probing;
        this.byRate = byRate;
        this.delivery = delivery;
        this.admission = admission;
        this.intake = intake;
        this.roll = new Roll(names.zones(), names.kinds());
        this.keep = listing.kept() == null ? null : new Keep(listing.kept());
        this.link = new RosterLink(loop, listing.at(), listing.from(), new RosterLink.Heard() {
            @Override
            public void opened() {
                roll.opened();
                log("the roster is heard").log();
            }

            @Override
            public void told(String data) {
                firstList &= !listTold(data, firstList);
            }

            @Override
            public void broke(String why) {
                log("the roster is not heard").addKeyValue("why", why).log();
                if (!listing.pushed()) {
                    choice.clock(Loop.now());
                    choice.listFailed();
                }
            }
        });
    }

    /** Site figures for Choice; seeded, so that the same events give the same orders. */
    public static Choice choice(long seed, Product[] products, int zones, Choice.Admission admit) {
        return new Choice(new SplittableRandom(seed), products, zones, admit);
    }

    /** Before start. */
    public void front(Front front) {
        fronts.add(front);
        tallies.put(front, new Tally());
    }

    /** Where notes to and from the other governors go; they may be lost. */
    public void peers(InetSocketAddress here, List<InetSocketAddress> others) {
        peers.addAll(others);
        datagrams = loop.datagrams(here, (from, note) -> { }); // Choice asks for none so far
    }

    /** @param every ms between the sums that Choice is told */
    public void start(double every) {
        thread = new Thread(loop, "core");
        loop.afterEach(this::settle);
        String last = keep == null ? null : keep.read();
        choice.clock(Loop.now());
        firstList = last == null || !listTold(last, true);
        if (listing.pushed()) {
            watching = true;
            link.open();
        }
        loop.every(every, () -> {
            choice.clock(Loop.now());
            intake.period(does);
        });
        loop.every(LOOK, () -> {
            delivery.clock(Loop.now());
            delivery.look();
        });
        loop.every(FIGURES, this::figures);
        thread.start();
    }

    private static LoggingEventBuilder log(String text) {
        return LOG.atInfo().setMessage(text);
    }

    private boolean listTold(String data, boolean first) {
        try {
            Roll.Told told = roll.tell(data);
            if (told == null) {
                return false;
            }
            choice.clock(Loop.now());
            choice.listOpens(told.whole(), first);
            for (Entry e : told.entries()) {
                replicas.put(e.id(), e);
                ids.put(e.host() + ":" + e.port(), e.id());
                choice.listed(e.id(), e.zone(), e.kind(), e.weight(),
                        e.startedAt() == 0 ? 0 : e.startedAt() - wallOffset, switch (e.stage()) {
                            case READY -> Choice.Stage.READY;
                            case DRAINING -> Choice.Stage.DRAINING;
                            case GONE -> Choice.Stage.GONE;
                        });
            }
            choice.listCloses();
            if (keep != null) {
                keep.put(roll.text());
            }
            log(first ? "begins with a list" : "list told").addKeyValue("version", told.version())
                    .addKeyValue("whole", told.whole()).addKeyValue("entries", told.entries().size()).log();
            return true;
        } catch (Roll.Refused e) {
            LOG.atWarn().setMessage("a list is refused").addKeyValue("why", e.getMessage()).log();
            if (watching) {
                link.again(); // the roster then tells all of it
            }
            return false;
        }
    }

    // Fronts: each call becomes a step on the loop.

    @Override
    public boolean dialled(Front front, Holder holder, String zone, double usual, boolean bare) {
        return loop.hand(() -> {
            drop(holder.id);
            dialled.put(holder.id, new Dialled(front, holder, zone, usual, bare, new boolean[1]));
            admission.clock(Loop.now());
            admission.dialled(holder.id, bare);
        });
    }

    @Override
    public boolean holds(Holder holder, Map<Name, String> versions) {
        return loop.hand(() -> versions.forEach((name, version) -> delivery.holds(holder, name, version)));
    }

    @Override
    public boolean left(Holder holder) {
        return loop.hand(() -> {
            Dialled d = dialled.get(holder.id);
            if (d != null && d.holder == holder) {
                drop(holder.id);
            }
        });
    }

    @Override
    public boolean holdsAll(Holder holder, Map<Name, String> versions) {
        return loop.hand(() -> delivery.holdsAll(holder, versions));
    }

    private void drop(int id) {
        Dialled d = dialled.remove(id);
        if (d != null) {
            admission.left(id);
            delivery.left(id);
            intake.left(id);
            if (d.in[0]) {
                choice.clock(Loop.now());
                choice.left(id);
            }
        }
    }

    @Override
    public boolean subscribed(Holder holder, Kind kind, int table, boolean on) {
        return loop.hand(() -> {
            if (on) {
                delivery.subscribed(holder, kind, table);
            } else {
                delivery.unsubscribed(holder, kind, table);
            }
        });
    }

    @Override
    public boolean answered(Holder holder, long message, String refusal) {
        return loop.hand(() -> {
            delivery.clock(Loop.now());
            answered = true;
            if (refusal == null) {
                delivery.acked(holder, message);
            } else {
                delivery.refused(holder, message, refusal);
            }
            if (holder.holds(Name.ROUTE)) {
                admission.laid(holder.id);
            }
        });
    }

    @Override
    public boolean reported(Report report) {
        return loop.hand(() -> {
            Dialled d = dialled.get(report.proxy());
            if (d != null && d.in[0]) {
                intake.report(report);
            }
        });
    }

    @Override
    public int number(String proxy) {
        return numbers.computeIfAbsent(proxy, p -> {
            int next = nextNumber.getAndIncrement();
            return next < PROXIES ? next : -1;
        });
    }

    @Override
    public void written(Front front, Message message, double at, long bytes) {
        tallies.get(front).written(at - message.sentAt, bytes, message.lines());
    }

    @Override
    public List<String> products() {
        return names.products();
    }

    @Override
    public Entry replica(long id) {
        return replicas.get(id);
    }

    @Override
    public long at(String host, int port) {
        return ids.getOrDefault(host + ":" + port, 0L);
    }

    @Override
    public boolean byRate() {
        return byRate;
    }

    /** A line with the figures since the last one, and one for each front. */
    private void figures() {
        long streams = dialled.values().stream().filter(d -> d.in[0]).count();
        log("figures").addKeyValue("orders", orders).addKeyValue("streams", streams)
                .addKeyValue("waiting", admission.waiting())
                .addKeyValue("unansweredLines", delivery.unanswered())
                .addKeyValue("mostUnansweredLines", delivery.mostUnanswered())
                .addKeyValue("modelMostLines", Math.round(modelMost))
                .addKeyValue("modelOverLines", Math.round(modelOver))
                .addKeyValue("modelUnderLines", Math.round(modelUnder))
                .addKeyValue("longestRoundMs", Math.round(longestRound * 10) / 10.0).log();
        tallies.forEach((front, tally) -> tally.into(log("front").addKeyValue("front", front.name())).log());
        longestRound = 0;
        modelMost = 0;
        modelOver = 0;
        modelUnder = 0;
    }

    /** Runs a step on the core's thread; false if the core is full. */
    public boolean hand(Runnable step) {
        return loop.hand(step);
    }

    private void settle() {
        moment = Loop.now();
        admission.clock(moment);
        pull(() -> admission.decide(does));
        choice.clock(moment);
        ordered = false;
        delivery.clock(moment);
        do { // a receipt makes room for what waited
            receipted = false;
            pull(() -> choice.decide(hand));
            if (ordered) {
                delivery.momentEnds();
            }
            pull(() -> delivery.decide(does));
        } while (receipted);
        if (ordered || answered) { // how far the gate's model of the channel is from what really waits
            answered = false;
            double model = choice.waiting();
            int real = delivery.unanswered();
            modelMost = Math.max(modelMost, model);
            modelOver = Math.max(modelOver, model - real);
            modelUnder = Math.max(modelUnder, real - model);
        }
        longestRound = Math.max(longestRound, Loop.now() - moment);
    }

    private void pull(BooleanSupplier decision) {
        try {
            while (decision.getAsBoolean()) {
                continue;
            }
        } catch (RuntimeException e) { // the tables in force stay; the next event tries again
            LOG.atError().setMessage("BUG: a decision failed").setCause(e).log();
        }
    }

    public void close() {
        loop.close();
        fronts.forEach(Front::close);
        if (keep != null) {
            keep.close();
        }
    }

    /** What Choice orders. */
    private final class Hand implements Orders {
        private void counts() {
            ordered = true;
            orders++;
        }

        @Override
        public void line(int table, Replica replica, double weight) {
            counts();
            delivery.line(table, replica.id, weight);
        }

        @Override
        public void clear(int table) {
            counts();
            delivery.clear(table);
        }

        @Override
        public void withdraw(Replica replica, boolean out) {
            counts();
            delivery.withdraw(replica.id, out);
        }

        @Override
        public void level(int table, Product product, double letIn, int retry) {
            counts();
            delivery.level(table, product.index, letIn, retry);
        }

        @Override
        public void bind(int table, Proxy proxy, BitSet products) {
            counts();
            delivery.bind(proxy.id, table, products.stream().boxed().toList());
        }

        @Override
        public void receipt(int serial) {
            momentOf[serial & 0xffff] = moment;
            delivery.receipt(serial);
        }

        @Override
        public void probe(Replica replica) {
            Entry e = replicas.get(replica.id);
            if (!probing.allowed() || e == null) {
                does.probed(replica.id, Choice.Answer.NONE, Double.NaN);
            } else {
                new Probe(loop, replica.id, new InetSocketAddress(e.host(), e.port()), listing.from(), probing.timeout(),
                        does);
            }
        }

        @Override
        public void tellPeers(byte[] note) {
            for (InetSocketAddress peer : peers) {
                try {
                    datagrams.send(ByteBuffer.wrap(note, 0, Math.min(NOTE, note.length)), peer);
                } catch (java.io.IOException e) {
                    LOG.atDebug().setCause(e).log("a note to a peer is lost");
                }
            }
        }

        @Override
        public void watchList() {
            if (!watching) {
                watching = true;
                link.open();
            }
        }

        @Override
        public void timer(int tag, double at) {
            loop.at(at, () -> {
                choice.clock(Loop.now());
                choice.bell(tag);
            });
        }

        @Override
        public void log(String text) {
            Governor.log(text).addKeyValue("by", "choice").log();
        }
    }

    /** What the other parts decide, and what they tell Choice. */
    private final class Does implements Acts, Admission.Acts, Sums, Probe.Told {
        @Override
        public void send(Message message) {
            dialled.get(message.to.id).front.send(message, Governor.this);
        }

        @Override
        public void cut(Holder holder, String why) {
            Dialled d = dialled.get(holder.id);
            log("a stream is cut").addKeyValue("proxy", holder.id).addKeyValue("why", why).log();
            drop(holder.id);
            d.front.end(holder, false, why);
        }

        @Override
        public void inForce(Holder holder, int serial) {
            Dialled d = dialled.get(holder.id);
            if (d != null) {
                tallies.get(d.front).acked(Loop.now() - momentOf[serial & 0xffff]);
            }
            receipted = true;
            choice.inForce(serial);
        }

        @Override
        public void admit(int proxy) {
            Dialled d = dialled.get(proxy);
            d.in[0] = true;
            delivery.joined(d.holder);
            choice.clock(Loop.now());
            choice.joined(proxy, Math.max(0, names.zones().indexOf(d.zone)), d.usual, d.bare);
        }

        @Override
        public void turnAway(int proxy, String why) {
            Dialled d = dialled.remove(proxy);
            log("a stream is turned away").addKeyValue("proxy", proxy).addKeyValue("why", why).log();
            d.front.end(d.holder, true, why);
        }

        @Override
        public void met(long replica, int tries, int voided, double answerTime, double load) {
            choice.met(replica, tries, voided, answerTime, load);
        }

        @Override
        public void came(int proxy, int product, int count, double span) {
            choice.came(proxy, product, count, span);
        }

        @Override
        public void probed(long replica, Choice.Answer answer, double load) {
            choice.clock(Loop.now());
            choice.probed(replica, answer, load);
        }

        @Override
        public void note(String text, Object... figures) {
            LoggingEventBuilder line = log(text);
            for (int i = 0; i + 1 < figures.length; i += 2) {
                line = line.addKeyValue(figures[i].toString(), figures[i + 1]);
            }
            line.log();
        }
    }
}
