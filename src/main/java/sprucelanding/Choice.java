package sprucelanding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Decides what one governor tells its proxies. The host opens it with what the site states (the constructor,
 * then roll, channel, warming, reports and admission, once each). At each event it calls clock, then the
 * inputs, which only note what is known, and then decide until that says false; each call gives one order.
 * The orders stand in Orders; the facts kept, in Replica, Proxy, Product and Table. Weights follow
 * docs/design.md: halfway steps to inverse-load weights, zeroing past a threshold, removals first and then
 * the largest changes, within what the channel drains. Times are ms.
 */
public final class Choice {
    /** Missing: dropped from the list without a word of draining, where that alone does not bind. */
    public enum Stage { READY, MISSING, DRAINING, GONE }

    public enum Answer { OK, BUSY, ERROR, SILENT, UNREACHABLE, NONE }

    public enum Admission { SHARE, RATE, NONE }

    private static final int TURN_BELL = 1, DUE_BELL = 2;

    private static final double TURN = 1000; // a cycle: weights and levels move once in it
    private static final double MEMORY = 6000; // for the speed: a weight should rest on some dozens of tries
    private static final double LONG_MEMORY = 18_000; // while strained: queues blur what a try tells of speed
    private static final double SHORT_MEMORY = 2500; // for health and zeroing: trouble must show at once
    private static final double PRIOR = 0.3; // the listed weight's part, beside an average replica's evidence
    /** The design's figures: weight at full load, least load that counts, slow start, growth, change sent. */
    private static final double SCALE = 100, LEAST_LOAD = 0.05, SLOW_START = 0.1, GROWTH = 1.5, CHANGE = 0.1;
    private static final double USUAL_LOAD = 0.5; // load assumed while none is known
    /** Past this load a weight shrinks at once; past this mean load queues grow; levels steer for this. */
    private static final double BUSY = 0.8, SATURATED = 0.75, GOAL_LOAD = 0.7;
    private static final double ZERO_PAST = 0.95; // over the design's 80%: few cores often look that busy
    /** A weight shrinks at once, or is zeroed, for load only if that stands this far above the rest's. */
    private static final double CROWDED = 1.25, ABOVE_REST = 1.5;
    private static final int SILENT_AFTER = 4; // probes missed in a row; a refused connection counts twice
    /** Of a table's lines, at least this part stays when silence, or when failure or load, takes some out. */
    private static final double STAY_SILENT = 0.25, STAY_SICK = 0.5;
    /** Share of tries voided, above the fleet's, that is a sickness; and what a full replica is spared. */
    private static final double SICK = 0.35, SICK_FULL = 0.3;
    private static final double CALM = 0.7; // below this mean load a lone silence is no full queue
    private static final double MOST = 0.8, FEW = 0.15; // of a zone, or of the others
    /** How long a sick replica stays out, doubling up to the longest while it falls sick again. */
    private static final double SENTENCE = 4000, LONGEST_SENTENCE = 16_000;
    private static final int LAG_TURNS = 3; // until a level shows in the reports
    private static final double LEAST_LEVEL = 0.05, LEAST_ADMITTED = 0.07, RECOVERY = 1.6;
    private static final double MOST_EXTRA = 1; // what slow and voided answers add to a busy load at most
    private static final double FORESEEN = 0.95; // foreseen use from which levels fall at once
    private static final double USUAL_ANSWER = 0.5; // of the SLA time, from which answers count as slow
    private static final double UNLIMITED = 1_000_000;
    /** Parts of the channel's limits: for the ordinary, for what health asks, for levels, for what rules ask. */
    private static final double ORDINARY = 0.5, URGENT = 0.75, VITAL = 0.8, BINDING = 1;
    private static final int SERIALS = 60_000; // numbers of receipts, used in turn
    private static final double LOOSE = 0.67; // of that, in lines: removals of gone servers come in crowds
    /** Ranks of lines: what the rules ask, what can't wait; the rest by traffic moved, up to 1 at MOVED means. */
    private static final double MUST = 4, SOON = 2, MOVED = 8;
    private static final double TRUSTED = 0.5; // of the channel's stated pace: it may run slow for a while
    private static final int FIRST_LOOK = 1; // turns before proxies with old orders are bound
    private static final double PROBE_EVERY = 1000; // at the soonest, while a replica answers
    private static final double TENDER = 0.5; // of the time to get warm, in which a jam can push one over
    private static final double COLD_VOIDED = 0.15; // share voided past which cold replicas wait
    private static final double PROBE_SHARE = 0.25; // probes for each txn, at most

    /** Share voided at most servers that tells of too few connections; servers in a part at least, */
    private static final double ALL_VOIDED = 0.3;
    private static final int PART = 3, SHARING = 2; // and proxies with little traffic that share one
    private static final double SPARE = 1.5; // servers for a part, beside what its traffic asks for
    private static final double LONGEST_QUIET = 40_000; // before parts grow; an eighth of it at first

    private final SplittableRandom chance;
    private final Product[] products;
    /** The tables of all servers; and all that are laid, with the parts that those are cut into. */
    private final List<Table> wide = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();
    private final Map<Long, Replica> replicas = new LinkedHashMap<>();
    private List<Replica> roll = List.of(); // the replicas listed as ready
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private final TreeSet<Due> due = new TreeSet<>();
    private boolean asked, probes, softRemoval;
    private double coldFrom, warmAfter, reportEvery;
    private Admission admission = Admission.NONE;
    private double linesPerMs, head, queueCap, messageSpan;
    private int messageCap;
    /** Lines that wait in the channel, as of when; all booked so far, and before each receipt asked for. */
    private double waiting, waitingAt, booked, bookedBefore;
    private final Map<Integer, Double> receipts = new HashMap<>();
    private int serial;
    private double writtenAt = Double.NEGATIVE_INFINITY;

    private double now;
    private long dueCount, turns;
    private double dueBell = Double.POSITIVE_INFINITY;
    private boolean turnDue = true;
    /** Cold replicas get no line: in a jam, proxies shun the full ones, and all of that would go there. */
    private boolean holdCold = true;
    private boolean news, ordinary, met, strained, wholeList, firstList;
    private final Set<Replica> named = new LinkedHashSet<>();
    /** What waits to be ordered, first things first; null after anything that may have changed it. */
    private List<Table.Row> wanted;
    private List<Proxy> unbound;
    /** Share of all demand that is let in; and over the last turns, for reports tell of the oldest. */
    private double admitted = 1;
    private final ArrayDeque<Double> past = new ArrayDeque<>();
    private double meanLoad, voidShare;
    /** Servers in each part of a table, 0 while tables are whole; since when; how long until parts may grow. */
    private int each;
    private double dealtAt = Double.NEGATIVE_INFINITY, quiet = LONGEST_QUIET / 8;

    // ---- what the site states

    /** Products open to the same replicas share one table; own-zone products have one for each zone. */
    public Choice(SplittableRandom chance, Product[] products, int zones) {
        this.chance = chance;
        this.products = products;
        for (Product p : products) {
            for (int home = p.homeOnly ? 0 : -1; home < (p.homeOnly ? zones : 0); home++) {
                int zone = home;
                Table same = wide.stream().filter(t -> t.like.kinds.equals(p.kinds)
                        && t.like.zones.equals(p.zones) && t.home == zone).findFirst().orElse(null);
                if (same == null) {
                    same = new Table(wide.size(), p, home, null, products.length);
                    wide.add(same);
                }
                same.products.set(p.index);
            }
        }
        tables.addAll(wide);
    }

    public void roll(boolean pushed, boolean soft) {
        asked = !pushed;
        softRemoval = soft;
        if (asked) {
            dueAt(Double.NEGATIVE_INFINITY, null);
        }
    }

    public void channel(double linesPerMs, double head, double queueCap, int messageCap, double messageSpan) {
        this.linesPerMs = linesPerMs;
        this.head = head;
        this.queueCap = queueCap;
        this.messageCap = messageCap;
        this.messageSpan = messageSpan;
    }

    public void warming(double coldFrom, double warmAfter) {
        this.coldFrom = coldFrom;
        this.warmAfter = warmAfter;
    }

    public void reports(boolean probes, double every) {
        this.probes = probes;
        this.reportEvery = every;
    }

    public void admission(Admission admission) {
        this.admission = admission;
    }

    // ---- inputs: they only note what is known

    public void clock(double now) {
        this.now = now;
    }

    public void bell(int tag) {
        if (tag == TURN_BELL) {
            turnDue = true;
        } else {
            dueBell = Double.POSITIVE_INFINITY;
        }
    }

    public void listOpens(boolean whole, boolean first) {
        wholeList = whole;
        firstList = first;
        named.clear();
        news = true;
    }

    public void listed(long id, int zone, int kind, double weight, double startedAt, Stage stage) {
        Replica r = replicas.computeIfAbsent(id, Replica::new);
        r.entered |= stage == Stage.READY && (r.stage.compareTo(Stage.MISSING) > 0 || startedAt > r.startedAt);
        r.zone = zone;
        r.kind = kind;
        r.listedWeight = weight > 0 ? weight : 1;
        r.startedAt = startedAt;
        stage(r, stage);
        named.add(r);
    }

    /** Where a drop alone does not bind, a replica that answers keeps its line: the list may be wrong. */
    private void stage(Replica r, Stage told) {
        boolean serves = softRemoval && r.stage.compareTo(Stage.MISSING) <= 0 && r.unanswered == 0 && !r.out;
        r.stage = told == Stage.GONE && serves ? Stage.MISSING : told;
    }

    public void listCloses() {
        if (wholeList) {
            replicas.values().stream().filter(r -> !named.contains(r)).forEach(r -> stage(r, Stage.GONE));
        }
    }

    public void listFailed() {
        if (asked) {
            dueAt(now + PROBE_EVERY * (0.3 + chance.nextDouble()), null);
        }
    }

    public void probed(long id, Answer answer, double load) {
        Replica r = replicas.get(id);
        if (r == null) {
            return;
        }
        news = true;
        reported(r, load);
        r.toldAt = load >= 0 ? now : r.toldAt;
        if (answer == Answer.OK) {
            r.unanswered = 0;
            r.answered++;
        } else if (answer != Answer.BUSY && answer != Answer.NONE) {
            r.unanswered += answer == Answer.UNREACHABLE ? 2 : 1;
            r.answered = 0;
            if (answer == Answer.SILENT && settles(r)) {
                reported(r, 1);
            }
        }
        r.probing = false;
        r.stage = r.stage == Stage.MISSING && r.unanswered > 0 ? Stage.GONE : r.stage;
    }

    public void met(long id, int tries, int voided, double answerTime, double load) {
        Replica r = replicas.get(id);
        if (r == null || tries <= 0 || now < r.deafUntil) {
            return;
        }
        int bad = Math.max(0, Math.min(voided, tries));
        r.settled += tries - bad;
        r.tries += tries;
        r.voided += bad;
        r.waited += (tries - bad) * Math.max(0, answerTime);
        if (tries > bad) {
            r.settledAt = now;
        }
        reported(r, now - r.toldAt < 2 * reportEvery + PROBE_EVERY ? Double.NaN : load); // a probe's is newer
        met = true;
    }

    private void reported(Replica r, double load) {
        if (load >= 0) {
            r.load = Math.min(load, 1);
            r.heardAt = now;
        }
    }

    /** Messages leave in order: all that was booked before this one has left. */
    public void inForce(int serial) {
        Double before = receipts.get(serial);
        if (before != null) {
            waiting = Math.min(waiting, booked - before);
        }
    }

    public void came(int proxy, int product, int count, double span) {
        Proxy p = proxies.get(proxy);
        if (p != null && product >= 0 && product < products.length && span > 0 && count >= 0) {
            p.demand[product] += (count / span * 1000 - p.demand[product]) / 2;
        }
    }

    public void joined(int id, int zone, double usual, boolean bare) {
        left(id);
        double each = Math.max(0, usual) / products.length;
        proxies.put(id, new Proxy(id, zone, bare, now, each, products.length));
        unbound = null;
    }

    public void left(int id) {
        Proxy gone = proxies.remove(id);
        tables.forEach(t -> t.users.remove(gone));
        tables.forEach(t -> t.held.remove(gone));
        unbound = null;
    }

    // ---- decisions

    /** Gives the next order, if there is one. */
    public boolean decide(Orders orders) {
        if (news) {
            news = false;
            wanted = null;
            follow();
            judge();
        }
        if (turnDue) {
            turnDue = false;
            ordinary = true;
            wanted = null;
            unbound = null;
            turns++;
            turn();
            orders.timer(TURN_BELL, now + TURN);
            return true;
        }
        if (!notes.isEmpty()) {
            orders.log(notes.poll());
            return true;
        }
        if (dues(orders) || clears(orders) || strained && levels(orders) || lines(orders) || binds(orders) || levels(orders)) {
            return true;
        }
        ordinary = false;
        if (writtenAt == now) { // what comes in force tells how much of the channel has drained
            writtenAt = Double.NEGATIVE_INFINITY;
            serial = (serial + 1) % SERIALS;
            receipts.put(serial, bookedBefore);
            orders.receipt(serial);
            return true;
        }
        if (!due.isEmpty() && due.first().at() < dueBell) {
            dueBell = due.first().at();
            orders.timer(DUE_BELL, dueBell);
            return true;
        }
        return false;
    }

    private boolean dues(Orders orders) {
        if (due.isEmpty() || due.first().at() > now) {
            return false;
        }
        Replica r = due.pollFirst().replica();
        if (r == null) {
            orders.watchList();
        } else {
            orders.probe(r);
        }
        return true;
    }

    /** The next line to order: removals first, then cuts that can't wait, then what moves most traffic. */
    private boolean lines(Orders orders) {
        if (wanted == null) {
            wanted = new ArrayList<>();
            tables.forEach(t -> rank(t, wanted));
            wanted.sort(Comparator.comparingDouble((Table.Row row) -> -row.rank));
        }
        Set<Table> full = new HashSet<>();
        for (Table.Row row : wanted) {
            Table table = row.table;
            boolean must = row.rank >= MUST;
            boolean ordered = row.rank >= SOON || ordinary || table.users.isEmpty() || empty(table);
            if (!ordered || full.contains(table)) {
                continue;
            }
            double part = must ? BINDING : row.rank >= SOON ? URGENT : ORDINARY;
            if (!must && !spaced(table, part) || !fits(table.users, 1, part)) {
                full.add(table);
                if (must) {
                    return false;
                }
                continue;
            }
            wanted.remove(row);
            double want = want(row);
            if (want == 0 && !row.replica.withZone && !table.users.isEmpty()) {
                foresee(row.sent / sum(tables, t -> sum(t.rows.values(), x -> x.sent)));
            }
            row.sent = want;
            table.orderedAt = now;
            orders.line(table.number, row.replica, want);
            if (row.replica.stage == Stage.GONE) {
                table.rows.remove(row.replica);
            }
            return true;
        }
        return false;
    }

    private void rank(Table t, List<Table.Row> into) {
        double mean = mean(t);
        boolean empty = empty(t);
        for (Table.Row row : t.rows.values()) {
            double want = want(row);
            boolean soon = row.sent > 0 && (want == 0 || young(row.replica) && want < row.sent / 2);
            double moved = Math.abs(want - row.sent);
            row.rank = Math.min(1, moved / mean / MOVED)
                    + (!soon ? 0 : !listed(row.replica) ? MUST : SOON);
            if (moved > 0 && t.number >= 0 && (soon || empty || moved >= CHANGE * Math.max(want, row.sent))) {
                into.add(row);
            }
        }
    }

    /**
     * Puts joined proxies on the tables, once those have lines, those first that carry most. A governor that
     * starts anew first looks at the load, while proxies keep the orders that they hold: else it would let
     * all in amid an overload.
     */
    private boolean binds(Orders orders) {
        if (unbound == null) {
            unbound = new ArrayList<>(proxies.values());
            unbound.removeIf(p -> wide.stream().allMatch(t -> !due(p, t)));
            unbound.sort(Comparator.comparingDouble(p -> -p.usual));
        }
        for (Proxy p : unbound) {
            for (Table t : wide) {
                Table to = place(p, t);
                int lines = 1 + to.rows.size() + to.products.cardinality();
                if (!due(p, t) || empty(to) || !p.bare && turns <= FIRST_LOOK) {
                    continue;
                }
                if (!fits(List.of(p), lines, URGENT)) {
                    return false;
                }
                if (p.bare && p.on.isEmpty()) {
                    foresee(p.usual / sum(proxies.values(), x -> x.usual));
                }
                Table before = p.on.put(t, to);
                if (before != null) {
                    before.users.remove(p);
                }
                to.users.add(p);
                to.held.add(p);
                orders.bind(to.number, p, to.products);
                return true;
            }
        }
        unbound = List.of();
        return false;
    }

    /** The table of this proxy: the one of all servers, or its part of that. */
    private Table place(Proxy p, Table t) {
        return t.parts.isEmpty() ? t : t.parts.get(p.part % t.parts.size());
    }

    private boolean due(Proxy p, Table t) {
        return (t.home < 0 || t.home == p.zone) && p.on.get(t) != place(p, t);
    }

    /** Levels, and further tries: only after proof that nothing ran, and none that would feed full queues. */
    private boolean levels(Orders orders) {
        for (Table t : tables) {
            for (Product product : products) {
                int k = product.index;
                double letIn = admission != Admission.RATE ? product.level
                        : product.level < 1 ? product.rate : UNLIMITED;
                int retry = strained || !met || meanLoad > BUSY ? Orders.RETRY_NEVER : Orders.RETRY_UNRUN;
                double change = Math.abs(letIn - t.letIn[k]) / Math.max(letIn, t.letIn[k]);
                boolean moves = (ordinary || strained) && (change >= CHANGE / 2 || retry != t.retry[k]);
                boolean due = t.number >= 0 && t.products.get(k) && (t.letIn[k] < 0 || moves);
                if (due && fits(t.users, 1, strained ? VITAL : ORDINARY)) {
                    t.letIn[k] = letIn;
                    t.retry[k] = retry;
                    orders.level(t.number, product, letIn, retry);
                    return true;
                }
            }
        }
        return false;
    }

    // ---- the list and health: after each piece of news

    /** Makes the tables follow the list; one that starts anew comes in through the slow start. */
    private void follow() {
        roll = replicas.values().stream().filter(this::listed).toList();
        for (Replica r : roll) {
            if (r.entered) {
                r.deafUntil = firstList ? 0 : now + 2 * reportEvery;
                r.unanswered = 0;
                r.answered = 1;
                r.out = probes && !firstList; // a stranger on a wrong list would err: one answer lets it in
                r.outUntil = Double.NEGATIVE_INFINITY;
                r.heardAt = r.settledAt = Double.NEGATIVE_INFINITY;
                comeIn(r);
            }
            if (probes && !r.probing) {
                r.probing = true;
                dueAt(now + (r.entered ? chance.nextDouble() * PROBE_EVERY / (firstList ? 1 : 4)
                        : r.unanswered > 0 && !r.out ? PROBE_EVERY / 4 : probePace()), r);
            }
            r.entered = false;
        }
        firstList = false;
    }

    private void judge() {
        if (roll.stream().anyMatch(r -> !r.out && r.unanswered >= SILENT_AFTER / 2)) {
            Map<Integer, int[]> zones = new HashMap<>(); // by zone: replicas, and those that answer no probe
            for (Replica r : roll) {
                int[] zone = zones.computeIfAbsent(r.zone, z -> new int[2]);
                zone[0]++;
                zone[1] += r.unanswered > 0 ? 1 : 0;
            }
            double others = sum(zones.values(), z -> z[1] < MOST * z[0] ? z[0] : 0);
            double stray = sum(zones.values(), z -> z[1] < MOST * z[0] ? z[1] : 0);
            for (Replica r : roll) {
                int[] zone = zones.get(r.zone);
                silent(r, zone[1] >= MOST * zone[0] && others > 0 && stray <= FEW * others,
                        stray <= Math.max(1, FEW * others));
            }
        }
        for (Table t : wide) {
            if (!t.rows.isEmpty() && sum(t.rows.values(), this::want) == 0) {
                holdCold = false;
                t.rows.keySet().forEach(r -> r.out = false);
                note("back to the list: no line is left in table " + t.number);
            }
        }
        if (wide.stream().flatMap(t -> t.parts.stream()).anyMatch(p -> sum(p.rows.values(), this::want) == 0)) {
            deal();
        }
    }

    /**
     * A replica that answers no probe is out. But while it still settles txns, only if its whole zone is as
     * silent and the others are not (a cut or a lost zone), or if hardly any other is (a hang, a crash):
     * silence here and there means that probes stand in full queues, and counts as a report of full load.
     */
    private void silent(Replica r, boolean together, boolean few) {
        boolean alone = r.unanswered >= SILENT_AFTER && (meanLoad < CALM && few || !settles(r));
        if (!r.out && r.unanswered >= SILENT_AFTER / 2 && (together || alone)) {
            leaves(r, 0, STAY_SILENT, "no answer to probes" + (together ? ", nor from its zone" : ""));
            r.withZone = together;
        }
    }

    /** Whether reports told of settled txns of late, or none can have come yet. */
    private boolean settles(Replica r) {
        return now - r.settledAt < 1.5 * reportEvery || turns * TURN < unmet();
    }

    /** How long it takes until what a newly joined proxy meets has been reported. */
    private double unmet() {
        return 3 * reportEvery;
    }

    /** A report that is older is no sign of a low load, nor of a high one. */
    private boolean fresh(Replica r) {
        return now - r.heardAt < 2 * reportEvery + PROBE_EVERY;
    }

    private void leaves(Replica r, double hold, double stay, String why) {
        if (mayLeave(r, stay)) {
            r.out = true;
            r.outUntil = now + hold;
            r.answered = 0;
            note("out " + r.id + ": " + why);
        }
    }

    // ---- the turn: what weights and levels should be

    private void turn() {
        double fade = Math.exp(-TURN / (strained ? LONG_MEMORY : MEMORY));
        double quick = Math.exp(-TURN / SHORT_MEMORY);
        for (Replica r : roll) {
            r.busyTime = r.busyTime * fade + (fresh(r) ? r.load * TURN : 0);
            r.settled *= fade;
            double kept = fresh(r) ? turns > 2 ? quick : 0 : 1;
            r.steadyLoad = r.load + (r.steadyLoad - r.load) * kept;
        }
        List<Replica> seen = roll.stream().filter(r -> !r.out && fresh(r)).toList();
        List<Replica> in = roll.stream().filter(r -> !r.out && r.settled > 0).toList();
        double settled = sum(in, r -> r.settled);
        double busy = sum(in, r -> r.busyTime);
        double weights = sum(seen, this::part);
        double load = weights == 0 ? 0 : sum(seen, r -> r.load * part(r)) / weights;
        meanLoad = weights == 0 ? 0 : sum(seen, r -> r.steadyLoad * part(r)) / weights;
        double tries = sum(roll, r -> r.tries);
        double voided = sum(roll, r -> r.voided);
        double answerTime = sum(roll, r -> r.waited) / (tries - voided + 1);
        voidShare = voided / (tries + 1);
        for (Replica r : roll) {
            health(r);
            r.tries *= quick;
            r.voided *= quick;
            r.waited *= quick;
        }
        double listed = sum(roll, r -> r.listedWeight) / roll.size();
        for (Replica r : roll) {
            r.speed = busy <= 0 ? r.listedWeight / listed
                    : (r.settled + PRIOR * settled / in.size() * r.listedWeight / listed)
                    / (r.busyTime + PRIOR * busy / in.size()) * busy / settled;
        }
        admit(load, answerTime);
        boolean unmet = proxies.values().stream().anyMatch(p -> now - p.joinedAt < unmet());
        boolean few = roll.stream().filter(this::tender).count() <= STAY_SICK * roll.size();
        holdCold = (voidShare > COLD_VOIDED || unmet) && few;
        judge();
        cut(load);
        if (busy > 0) {
            press();
            tables.forEach(this::step);
        }
    }

    /**
     * Halfway to the inverse of load per share received, with growth held for what comes up from little. A
     * busy one shrinks by up to a quarter at once: it guards against slow, paused and crowded machines alike.
     */
    private void step(Table t) {
        double mean = mean(t);
        double usual = meanLoad > 0 ? meanLoad : USUAL_LOAD;
        for (Table.Row row : t.rows.values()) {
            Replica r = row.replica;
            double perShare = usual / Math.max(r.speed, 1e-3);
            double sound = Math.min(1, (1 - r.voided / (r.tries + 2)) / (1 - voidShare));
            double target = SCALE / Math.max(LEAST_LOAD, perShare) * room(t, r) * sound * sound;
            if (r.steadyLoad > BUSY && r.steadyLoad > CROWDED * meanLoad) {
                target = Math.min(target, row.weight * Math.max(0.5, 2 * meanLoad / r.steadyLoad - 1));
            }
            double next = Math.rint((row.weight + target) / 2);
            double cap = Math.max(SLOW_START * mean, row.weight * GROWTH);
            cap = young(r) ? Math.min(cap, coldShare(r) * mean) : cap;
            if (want(row) > 0) {
                row.weight = Math.max(1, row.weight < mean / 2 || young(r) ? Math.min(next, cap) : next);
            }
        }
    }

    /** Products open to fewer replicas load those; a wider table leaves room for them. */
    private double room(Table t, Replica r) {
        double narrow = 0;
        for (Table other : wide) {
            if (other != t.wide && other.rows.size() < t.wide.rows.size() && open(other, r)) {
                narrow += other.pressure;
            }
        }
        return Math.max(LEAST_LOAD, 1 - narrow);
    }

    /** For each table, the demand on the replicas open to it, beside the mean over all. */
    private void press() {
        double speeds = sum(roll, r -> r.out ? 0 : r.speed);
        double all = sum(wide, this::demand);
        for (Table t : wide) {
            double open = sum(t.rows.values(), row -> row.replica.out ? 0 : row.replica.speed);
            t.pressure = open > 0 && all > 0 ? demand(t) / open * speeds / all : 0;
        }
    }

    private double demand(Table t) {
        return sum(List.of(products), p -> t.products.get(p.index) ? p.demand * p.level : 0);
    }

    /**
     * Out when its tries are voided far more often than the fleet's (a quick failer at low load, a hang), in
     * a busy one more so, for full queues void tries as well; zeroed when its load stays far above the rest.
     * Back when it has sat its time, is no longer full and answers probes.
     */
    private void health(Replica r) {
        double share = r.voided / (r.tries + 1);
        boolean full = !strained && r.steadyLoad > ZERO_PAST && r.steadyLoad > ABOVE_REST * meanLoad;
        double sick = SICK + voidShare + (r.steadyLoad > SATURATED ? SICK_FULL : 0);
        if (!r.out && each == 0 && r.voided >= 2 && share > sick) {
            r.sentence = now - r.outUntil < LONGEST_SENTENCE
                    ? Math.min(LONGEST_SENTENCE, r.sentence * 2) : SENTENCE;
            leaves(r, r.sentence, STAY_SICK, "voided " + percent(share) + ", all " + percent(voidShare));
        } else if (!r.out && full) {
            leaves(r, 0, STAY_SICK, "load " + percent(r.steadyLoad) + ", mean " + percent(meanLoad));
        } else if (r.out && !full && now >= r.outUntil && (!probes || r.answered >= 2)) {
            r.out = false;
            comeIn(r);
            note("back " + r.id + ": answers");
        }
    }

    /** Through the slow start, with nothing known of it; on the first list, at once for what runs long. */
    private void comeIn(Replica r) {
        r.busyTime = r.settled = r.tries = r.voided = r.waited = r.steadyLoad = r.load = 0;
        for (Table t : wide) {
            if (open(t, r)) {
                double weight = firstList ? listedShare(t, r) * coldShare(r) : start(t);
                t.rows.computeIfAbsent(r, x -> new Table.Row(t, x)).weight = weight;
                t.parts.stream().filter(p -> p.rows.containsKey(r)).forEach(p -> p.rows.get(r).weight = weight);
            }
        }
    }

    // ---- connections run short: shared tables of few servers

    /**
     * Tries that fail at nearly all servers, though these answer probes and have load to spare, mean that
     * each accepts too few connections for all proxies to hold one. So proxies share tables of a few servers
     * while it lasts, and of twice as many each time it has been quiet for a while. It should also answer
     * anything else that grows with the connections a proxy holds; it could harm where tries fail all over
     * for another reason: each proxy then depends on few servers.
     */
    private void cut(double load) {
        double[] shares = roll.stream().filter(r -> r.unanswered == 0 && r.tries >= 1)
                .mapToDouble(r -> r.voided / (r.tries + 1)).sorted().toArray();
        boolean few = !strained && Math.max(load, meanLoad) < SATURATED && shares.length > 0 && shares[shares.length / 2] > ALL_VOIDED;
        boolean again = now - dealtAt > unmet();
        if (few && again && each != PART) {
            each = PART;
            quiet = Math.min(LONGEST_QUIET, quiet * 2);
            note("tables of " + each + " servers: voided " + percent(shares[shares.length / 2]) + " or more, load "
                    + percent(meanLoad));
            deal();
        } else if (each > 0 && !few && now - dealtAt > quiet) {
            each = 4 * each > roll.size() ? 0 : 2 * each;
            note(each == 0 ? "tables whole again" : "tables of " + each + " servers");
            deal();
        } else if (again && wide.stream().flatMap(t -> t.parts.stream())
                .anyMatch(p -> sum(p.rows.values(), row -> want(row) > 0 ? 1 : 0) <= each / 2)) {
            deal();
        }
    }

    /**
     * Deals the proxies out, those that carry most alone and the others by threes, and for each group cuts a
     * part out of each table, with as many servers as its traffic asks for, but no fewer than each: those
     * that so far have the least connections and traffic.
     */
    private void deal() {
        dealtAt = now;
        wanted = null;
        unbound = null;
        for (Table t : wide) {
            t.parts.clear();
            t.number = t.number < 0 && each == 0 ? freeNumber() : t.number;
        }
        List<Proxy> all = new ArrayList<>(each == 0 ? List.of() : proxies.values());
        all.sort(Comparator.comparingDouble(p -> -demand(p)));
        double demand = Math.max(1, sum(all, this::demand));
        roll.forEach(r -> r.dealt = chance.nextDouble() / 4);
        for (int i = 0, group = 0; i < all.size(); group++) {
            double share = 0;
            int n = 0;
            for (; i < all.size() && n < SHARING && share * roll.size() < each; n++) {
                share += demand(all.get(i)) / demand;
                all.get(i++).part = group;
            }
            for (Table t : wide) {
                t.parts.add(part(t, share, n));
            }
        }
    }

    /** A part of a table, with this share of its weight, for so many proxies. */
    private Table part(Table t, double share, int proxies) {
        Table part = new Table(freeNumber(), t.like, t.home, t, products.length);
        tables.add(part);
        List<Table.Row> rows = new ArrayList<>(t.rows.values().stream().filter(row -> want(row) > 0).toList());
        double weight = SPARE * share * sum(rows, row -> row.weight);
        rows.sort(Comparator.comparingDouble(row -> row.replica.dealt));
        for (int i = 0; i < rows.size() && (i < each || weight > 0); i++) {
            Table.Row row = new Table.Row(part, rows.get(i).replica);
            row.weight = rows.get(i).weight;
            row.replica.dealt += proxies;
            part.rows.put(row.replica, row);
            weight -= row.weight;
        }
        return part;
    }

    private double demand(Proxy p) {
        return Arrays.stream(p.demand).sum();
    }

    private int freeNumber() {
        Set<Integer> used = new HashSet<>();
        tables.forEach(t -> used.add(t.number));
        int number = 0;
        while (used.contains(number)) {
            number++;
        }
        return number;
    }

    /** Clears a table that no proxy goes by any more: those that were on it hold connections for its lines. */
    private boolean clears(Orders orders) {
        for (Table t : tables) {
            boolean idle = t.users.isEmpty() && (t.wide == t ? !t.parts.isEmpty() : !t.wide.parts.contains(t));
            if (idle && !t.rows.isEmpty() && t.number >= 0 && fits(t.held, 1, URGENT)) {
                orders.clear(t.number);
                wanted = null;
                t.held.clear();
                t.rows.values().forEach(row -> row.sent = 0);
                t.number = -1;
                Arrays.fill(t.letIn, -1);
                if (t.wide != t) {
                    tables.remove(t);
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Lets in what the replicas can do, those products first that bring most. Use is the mean load; a load
     * stops at all cores busy, so then voided tries and slow answers count on top, and queues drain.
     */
    private void admit(double use, double answerTime) {
        for (Product p : products) {
            p.demand = sum(proxies.values(), proxy -> proxy.demand[p.index]);
        }
        double sum = sum(List.of(products), p -> p.demand);
        double slaTime = sum(List.of(products), p -> p.demand * p.slaTime);
        if (sum <= 0) {
            return;
        }
        double late = Math.max(0, answerTime * sum / slaTime - USUAL_ANSWER);
        double strain = use > BUSY ? use * (1 + Math.min(MOST_EXTRA, late + voidShare)) : use;
        boolean was = strained;
        strained = strain > SATURATED || strained && admitted < 1;
        strain *= past.isEmpty() ? 1 : admitted / past.peekFirst();
        strained |= strain > FORESEEN;
        if (strained) {
            double goal = admitted * GOAL_LOAD / strain;
            double step = strain > 1 || strain < GOAL_LOAD / 2 ? goal : (admitted + goal) / 2;
            admitted = Math.min(1, Math.max(LEAST_ADMITTED, Math.min(RECOVERY * admitted, step)));
        }
        past.addLast(admitted);
        if (past.size() > LAG_TURNS) {
            past.pollFirst();
        }
        if (strained != was) {
            note((strained ? "declining" : "all let in") + ": use " + percent(use) + ", late " + percent(late)
                    + ", voided " + percent(voidShare));
        }
        for (Product p : products) {
            double higher = sum(List.of(products), x -> x.revenue > p.revenue ? x.demand : 0);
            double same = sum(List.of(products), x -> x.revenue == p.revenue ? x.demand : 0);
            double level = same <= 0 ? 1 : (admitted * sum - higher) / same;
            p.level = admitted >= 1 ? 1 : Math.max(LEAST_LEVEL, Math.min(1, level));
            p.rate = rate(p);
        }
    }

    /** The others' load grows by this share: a replica left alone, or a proxy's traffic came (back). */
    private void foresee(double share) {
        for (int i = turns > LAG_TURNS ? past.size() : 0; i > 0; i--) {
            past.addLast(past.pollFirst() * Math.max(LEAST_LOAD, 1 - share));
        }
    }

    /** The rate at each proxy that lets in the product's share: those that get little keep all of it. */
    private double rate(Product product) {
        List<Double> demands = proxies.values().stream().map(p -> p.demand[product.index]).sorted().toList();
        double left = product.level * product.demand;
        for (int i = 0; i < demands.size(); i++) {
            double each = left / (demands.size() - i);
            if (demands.get(i) >= each) {
                return Math.max(0.1, each);
            }
            left -= demands.get(i);
        }
        return UNLIMITED;
    }

    // ---- shared by the decisions

    private boolean open(Table t, Replica r) {
        return (t.like.kinds.isEmpty() || t.like.kinds.get(r.kind))
                && (t.like.zones.isEmpty() || t.like.zones.get(r.zone)) && (t.home < 0 || t.home == r.zone);
    }

    private boolean listed(Replica r) {
        return r.stage.compareTo(Stage.MISSING) <= 0;
    }

    private boolean out(Replica r) {
        return !listed(r) || r.out || holdCold && tender(r);
    }

    private double want(Table.Row row) {
        return out(row.replica) ? 0 : row.weight;
    }

    private boolean empty(Table t) {
        return sum(t.rows.values(), row -> row.sent) == 0;
    }

    /** Whether enough others stay in each of its tables: the rest must not tip over for want of one. */
    private boolean mayLeave(Replica r, double share) {
        return tables.stream().filter(t -> t.rows.containsKey(r)).allMatch(t -> {
            double listed = sum(t.rows.values(), row -> listed(row.replica) ? 1 : 0);
            double stay = sum(t.rows.values(), row -> row.replica != r && want(row) > 0 ? 1 : 0);
            return stay >= Math.max(1, listed * share);
        });
    }

    private double mean(Table t) {
        double n = sum(t.rows.values(), row -> want(row) > 0 ? 1 : 0);
        return n == 0 ? SCALE / USUAL_LOAD : sum(t.rows.values(), this::want) / n;
    }

    private double start(Table t) {
        return Math.max(1, Math.rint(mean(t) * SLOW_START));
    }

    private double listedShare(Table t, Replica r) {
        double sum = sum(roll, x -> open(t, x) ? x.listedWeight : 0);
        double n = sum(roll, x -> open(t, x) ? 1 : 0);
        return Math.max(1, Math.rint(SCALE / USUAL_LOAD * r.listedWeight * n / sum));
    }

    /** How much traffic the tables send to it, beside the others. */
    private double part(Replica r) {
        return sum(tables, t -> t.rows.containsKey(r) ? t.rows.get(r).sent : 0);
    }

    private static <T> double sum(Collection<T> all, ToDoubleFunction<T> figure) {
        double sum = 0;
        for (T each : all) {
            sum += figure.applyAsDouble(each);
        }
        return sum;
    }

    private boolean young(Replica r) {
        return r.startedAt > 0 && now - r.startedAt < warmAfter;
    }

    private boolean tender(Replica r) {
        return young(r) && now - r.startedAt < warmAfter * TENDER;
    }

    private double coldShare(Replica r) {
        return young(r) ? coldFrom + (1 - coldFrom) * (now - r.startedAt) / warmAfter : 1;
    }

    private double probePace() {
        double sum = sum(List.of(products), p -> p.demand);
        double pace = sum <= 0 ? 0 : roll.size() / (PROBE_SHARE * sum) * 1000;
        return Math.max(PROBE_EVERY, Math.min(4 * PROBE_EVERY, pace));
    }

    private void dueAt(double at, Replica r) {
        due.add(new Due(at, dueCount++, r));
    }

    private void note(String text) {
        notes.add(text);
    }

    private static String percent(double share) {
        return Math.round(share * 100) + "%";
    }

    // ---- the gate: one model of the lines that wait in the channel and of the messages to each proxy

    /** Books lines for these proxies, if they fit into the given part of the limits. */
    private boolean fits(Collection<Proxy> to, int lines, double part) {
        if (to.isEmpty()) {
            return true;
        }
        waiting = Math.max(0, waiting - (now - waitingAt) * linesPerMs * TRUSTED);
        waitingAt = now;
        double cost = sum(to, p -> lines + (open(p) ? 0 : head));
        boolean fits = waiting + cost <= (part <= URGENT ? part * LOOSE : part) * queueCap;
        if (messageCap > 0) {
            for (Proxy p : to) {
                p.messages.removeIf(at -> at < now - messageSpan - TURN / 4);
                fits &= open(p) || p.messages.size() + 1 <= part * messageCap;
            }
        }
        if (fits) {
            if (writtenAt != now) {
                writtenAt = now;
                bookedBefore = booked;
                cost += proxies.size();
            }
            waiting += cost;
            booked += cost;
            to.stream().filter(p -> !open(p)).forEach(p -> p.messages.addLast(now));
        }
        return fits;
    }

    /** Whether it gets a message now anyway: what is ordered at one time travels together. */
    private boolean open(Proxy p) {
        return !p.messages.isEmpty() && p.messages.peekLast() == now;
    }

    /**
     * Whether the channel has had the time that the heads of another message take, ordinary ones twice that:
     * with many proxies, lines sent one by one as they come up would fill it with heads, and a removal of
     * gone servers would find no room. It could harm where one sick server draws most of the traffic.
     */
    private boolean spaced(Table t, double part) {
        double heads = t.users.size() * head / (linesPerMs * TRUSTED);
        return t.orderedAt == now || now - t.orderedAt >= heads * (part == ORDINARY ? 2 : 1);
    }
}
