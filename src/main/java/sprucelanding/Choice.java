package sprucelanding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides what one governor tells its proxies. The host opens it with what the site states (the constructor,
 * then roll, channel, warming, reports and admission, once each), calls clock, then the inputs (listed, met,
 * probed, came, joined, left, bell, ...), which only note what is known, and then decide until it says false;
 * each call gives one order. What it can order stands in Orders; the facts it keeps, in Replica, Proxy and
 * Product. Weights follow docs/design.md: halfway steps to inverse-load weights, zeroing past a threshold,
 * removals first and then the largest changes, within what the channel drains. Times are ms.
 */
public final class Choice {
    public enum Stage { READY, DRAINING, GONE }

    public enum Answer { OK, BUSY, ERROR, SILENT, UNREACHABLE, NONE }

    public enum Admission { SHARE, RATE, NONE }

    private static final int TURN_BELL = 1;
    private static final int DUE_BELL = 2;

    /** A cycle: weights move once in it. */
    private static final double TURN = 1000;
    /** How long busy time and tries count, so that a weight rests on some dozens of them. */
    private static final double MEMORY = 6000;
    /** Memory for health and for the load that zeroing goes by: shorter, for trouble must show at once. */
    private static final double SHORT_MEMORY = 2500;
    /** Of an average replica's evidence: how much the listed weight counts for as well. */
    private static final double PRIOR = 0.3;
    private static final double SCALE = 100;
    private static final double LEAST_LOAD = 0.05;
    private static final double USUAL_LOAD = 0.5;
    private static final double ZERO_PAST = 0.95;
    /** Past this load a weight shrinks by up to a quarter a turn. */
    private static final double BUSY = 0.8;
    /** A replica is zeroed for load only if it stands this far above the rest. */
    private static final double ABOVE_REST = 1.5;
    private static final double SLOW_START = 0.1;
    private static final double GROWTH = 1.5;
    private static final double CHANGE = 0.1;
    /** Past this mean load queues grow; levels steer for the goal. */
    private static final double SATURATED = 0.9;
    private static final double GOAL_LOAD = 0.85;
    /** How many turns pass until a level shows in the reports. */
    private static final int LAG_TURNS = 3;
    private static final double LEAST_LEVEL = 0.05;
    private static final double UNLIMITED = 1_000_000;

    // ---- what the site states

    private final SplittableRandom chance;
    private final Product[] products;
    private final List<Table> tables = new ArrayList<>();
    private boolean pushed;
    private double coldFrom;
    private double warmAfter;
    private boolean probes;
    private double reportEvery;
    private Admission admission = Admission.NONE;
    private Channel channel;

    // ---- what is known

    private double now;
    private final Map<Long, Replica> replicas = new LinkedHashMap<>();
    private final List<Replica> roll = new ArrayList<>();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private final TreeSet<Due> due = new TreeSet<>();
    private long dueCount;
    private double dueBell = Double.POSITIVE_INFINITY;
    private boolean turnDue = true;
    private boolean ordinary;
    private boolean whole;
    private boolean cached;
    private final List<Replica> named = new ArrayList<>();
    /** Share of all demand that is let in, and the figures it went by at the last turn. */
    private double admitted = 1;
    /** What was let in over the last turns: reports tell of the oldest. */
    private final ArrayDeque<Double> past = new ArrayDeque<>();
    private boolean strained;
    private double meanLoad;
    private double voidShare;

    /** One due time: to probe a replica, or (without one) to ask for the list. */
    private record Due(double at, long order, Replica replica) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A table's line: the weight it has come to and the one last ordered. */
    private static final class Row {
        final Replica replica;
        double weight;
        double sent;

        Row(Replica replica, double weight) {
            this.replica = replica;
            this.weight = weight;
        }
    }

    /** One shared table; products that are open to the same replicas have it in common. */
    private static final class Table {
        final int number;
        final Product first;
        final int home;
        int mask;
        final Map<Replica, Row> rows = new LinkedHashMap<>();
        final double[] letIn;
        final int[] retry;

        Table(int number, Product first, int home, int products) {
            this.number = number;
            this.first = first;
            this.home = home;
            this.letIn = new double[products];
            this.retry = new int[products];
            Arrays.fill(letIn, -1);
        }

        boolean open(Replica r) {
            return (first.kinds >> r.kind & 1) == 1 && (first.zones >> r.zone & 1) == 1
                    && (home < 0 || home == r.zone);
        }

        boolean serves(Proxy proxy) {
            return home < 0 || home == proxy.zone;
        }
    }

    public Choice(SplittableRandom chance, Product[] products) {
        this.chance = chance;
        this.products = products;
    }

    public void roll(boolean pushed) {
        this.pushed = pushed;
        if (!pushed) {
            dueAt(Double.NEGATIVE_INFINITY, null);
        }
    }

    public void channel(double linesPerMs, double head, double queueCap, int messageCap, double messageSpan) {
        channel = new Channel(linesPerMs, head, queueCap, messageCap, messageSpan);
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

    public void listOpens(boolean whole, boolean cached) {
        this.whole = whole;
        this.cached = cached;
        named.clear();
    }

    public void listed(long id, int zone, int kind, double weight, double startedAt, Stage stage) {
        Replica r = replicas.computeIfAbsent(id, Replica::new);
        boolean restarted = r.stage != Stage.GONE && startedAt > r.startedAt;
        boolean back = r.stage != Stage.READY && stage == Stage.READY;
        r.zone = zone;
        r.kind = kind;
        r.listedWeight = weight > 0 ? weight : 1;
        r.startedAt = startedAt;
        r.stage = stage;
        named.add(r);
        if (stage == Stage.READY && (restarted || back)) {
            enters(r, restarted);
        } else if (stage == Stage.GONE) {
            roll.remove(r);
        }
    }

    /** A replica joins the roll, or starts anew on it: what was known of it is of an earlier life. */
    private void enters(Replica r, boolean restarted) {
        if (!roll.contains(r)) {
            roll.add(r);
        }
        r.busyTime = r.settled = r.tries = r.voided = r.waited = r.steadyLoad = r.load = 0;
        r.heardAt = Double.NEGATIVE_INFINITY;
        r.unanswered = 0;
        r.out = r.zeroed = false;
        r.deafUntil = restarted ? now + 2 * reportEvery : 0;
        for (Table t : tables()) {
            if (t.open(r)) {
                Row row = t.rows.computeIfAbsent(r, x -> new Row(x, 0));
                row.weight = cached && !young(r) ? listedShare(r, t) : start(t);
            }
        }
        if (probes && !r.probing) {
            r.probing = true;
            dueAt(now + chance.nextDouble() * TURN, r);
        }
    }

    public void listCloses() {
        if (whole) {
            for (Replica r : new ArrayList<>(roll)) {
                if (!named.contains(r)) {
                    r.stage = Stage.GONE;
                    roll.remove(r);
                }
            }
        }
        if (cached) {
            for (Table t : tables()) {
                for (Row row : t.rows.values()) {
                    row.weight = listedShare(row.replica, t) * (young(row.replica) ? coldShare(row.replica) : 1);
                }
            }
        }
        cached = false;
    }

    public void listFailed() {
        if (!pushed) {
            dueAt(now + TURN * (0.3 + chance.nextDouble()), null);
        }
    }

    public void probed(long id, Answer answer, double load) {
        Replica r = replicas.get(id);
        if (r == null) {
            return;
        }
        r.probing = false;
        switch (answer) {
            case OK -> {
                r.unanswered = 0;
                r.answered++;
            }
            case UNREACHABLE -> missed(r, 2);
            case SILENT, ERROR -> missed(r, 1);
            default -> {
                // busy or draining: it lives
            }
        }
        reported(r, load);
        if (r.stage == Stage.READY) {
            r.probing = true;
            dueAt(now + (r.unanswered > 0 && !r.out ? TURN / 4 : probePace()), r);
        }
    }

    /**
     * A replica that answers no probe is out. But while it still settles txns, only if its whole zone is as
     * silent and the others are not (a cut or a lost zone), or if hardly any other is (a hang, a crash):
     * silence here and there means that probes stand in full queues, and counts as a report of full load.
     */
    private void missed(Replica r, int weight) {
        double mates = 0;
        double mute = 0;
        double muteMates = 0;
        for (Replica other : roll) {
            boolean silent = other == r || other.unanswered > 0;
            mates += other.zone == r.zone ? 1 : 0;
            muteMates += silent && other.zone == r.zone ? 1 : 0;
            mute += silent ? 1 : 0;
        }
        boolean together = muteMates > 1 && muteMates >= 0.8 * mates && mute - muteMates < 0.3 * (roll.size() - mates);
        r.answered = 0;
        r.unanswered += together ? 2 * weight : weight;
        boolean settles = weight == 1 && now - r.settledAt < 1.5 * reportEvery;
        if (settles) {
            reported(r, 1);
        }
        if (r.unanswered >= 4 && (!settles || together || mute <= Math.max(1, 0.15 * roll.size()))) {
            leaves(r, 0, 0.25, "no answer to probes" + (together ? ", nor from its zone" : ""));
        }
    }

    private void leaves(Replica r, double hold, double stay, String why) {
        if (!r.out && mayLeave(r, stay)) {
            r.out = true;
            r.outUntil = now + hold;
            r.answered = 0;
            note("out " + r.id + ": " + why);
        }
    }

    private void reported(Replica r, double load) {
        if (load >= 0) {
            r.load = Math.min(load, 1);
            r.heardAt = now;
        }
    }

    public void met(long id, int zone, int tries, int voided, double answerTime, double span, double load) {
        Replica r = replicas.get(id);
        if (r == null || tries <= 0 || now < r.deafUntil) {
            return;
        }
        int bad = Math.max(0, Math.min(voided, tries));
        r.settled += tries - bad;
        r.tries += tries;
        r.voided += bad;
        if (tries > bad) {
            r.settledAt = now;
        }
        r.waited += (tries - bad) * Math.max(0, answerTime);
        reported(r, load);
    }

    public void came(int proxy, int product, int count, int unanswered, double span) {
        Proxy p = proxies.get(proxy);
        if (p != null && product >= 0 && product < products.length && span > 0 && count >= 0) {
            double rate = count / span * 1000;
            p.demand[product] += (rate - p.demand[product]) * 0.5;
        }
    }

    public void joined(int id, int zone, double usual, boolean bare) {
        Proxy p = new Proxy(id, zone, products.length);
        for (int k = 0; k < products.length; k++) {
            p.demand[k] = Math.max(0, usual) / products.length;
        }
        proxies.put(id, p);
    }

    public void left(int id) {
        proxies.remove(id);
    }

    // ---- decisions

    /** Gives the next order, if there is one. */
    public boolean decide(Orders orders) {
        if (turnDue) {
            turnDue = false;
            turn();
            ordinary = true;
            orders.timer(TURN_BELL, now + TURN);
            return true;
        }
        if (!notes.isEmpty()) {
            orders.log(notes.poll());
            return true;
        }
        if (dues(orders) || lines(orders) || binds(orders) || levels(orders)) {
            return true;
        }
        ordinary = false;
        if (!due.isEmpty() && due.first().at < dueBell) {
            dueBell = due.first().at;
            orders.timer(DUE_BELL, dueBell);
            return true;
        }
        return false;
    }

    private boolean dues(Orders orders) {
        while (!due.isEmpty() && due.first().at <= now) {
            Replica r = due.pollFirst().replica;
            if (r == null) {
                orders.watchList();
                return true;
            }
            if (r.stage == Stage.READY) {
                orders.probe(r);
                return true;
            }
            r.probing = false;
        }
        return false;
    }

    /** The next line to order: removals first, then cuts to a restarted one, then the largest change. */
    private boolean lines(Orders orders) {
        Table table = null;
        Row next = null;
        double most = 0;
        for (Table t : tables()) {
            for (Row row : t.rows.values()) {
                double want = want(row);
                if (want == row.sent) {
                    continue;
                }
                boolean must = row.sent > 0 && row.replica.stage != Stage.READY;
                boolean urgent = must || row.sent > 0 && (want == 0 || young(row.replica) && want < row.sent);
                double change = Math.abs(want - row.sent) / Math.max(want, row.sent);
                double rank = must ? 4 : urgent ? 3 : change;
                if ((urgent || ordinary && change >= CHANGE || empty(t)) && rank > most
                        && channel.admits(audience(t), 1, now, must ? 1 : urgent ? 0.75 : 0.5)) {
                    table = t;
                    next = row;
                    most = rank;
                }
            }
        }
        if (next == null) {
            return false;
        }
        channel.book(audience(table), 1, now);
        next.sent = want(next);
        orders.line(table.number, next.replica, next.sent);
        if (next.sent == 0 && next.replica.stage == Stage.GONE) {
            table.rows.remove(next.replica);
        }
        return true;
    }

    private boolean binds(Orders orders) {
        for (Table t : tables()) {
            for (Proxy p : proxies.values()) {
                if ((p.tables >> t.number & 1) == 0 && t.serves(p) && !empty(t)) {
                    int lines = 1 + t.rows.size() + Integer.bitCount(t.mask);
                    if (channel.admits(List.of(p), lines, now, 0.75)) {
                        channel.book(List.of(p), lines, now);
                        p.tables |= 1L << t.number;
                        orders.bind(t.number, p, t.mask);
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private boolean levels(Orders orders) {
        for (Table t : tables()) {
            for (Product product : products) {
                if ((t.mask >> product.index & 1) == 0) {
                    continue;
                }
                double was = t.letIn[product.index];
                int retry = strained ? Orders.RETRY_NEVER : Orders.RETRY_UNRUN;
                double letIn = admission == Admission.RATE ? rate(product) : product.level;
                boolean small = Math.abs(letIn - was) < 0.05 * Math.max(was, letIn) || letIn == was;
                if (was >= 0 && (!ordinary || small && t.retry[product.index] == retry)) {
                    continue;
                }
                if (channel.admits(audience(t), 1, now, 0.5)) {
                    channel.book(audience(t), 1, now);
                    t.letIn[product.index] = letIn;
                    t.retry[product.index] = retry;
                    orders.level(t.number, product, letIn, retry);
                    return true;
                }
            }
        }
        return false;
    }

    // ---- the turn: what the weights should be

    private void turn() {
        double fade = Math.exp(-TURN / MEMORY);
        double quick = 1 - Math.exp(-TURN / SHORT_MEMORY);
        double settled = 0;
        double busy = 0;
        double load = 0;
        double latest = 0;
        double weights = 0;
        double voided = 0;
        double tries = 0;
        double waited = 0;
        int in = 0;
        for (Replica r : roll) {
            boolean fresh = now - r.heardAt < 2 * reportEvery + TURN;
            r.busyTime = r.busyTime * fade + (fresh ? r.load * TURN : 0);
            r.settled *= fade;
            if (fresh) {
                r.steadyLoad += (r.load - r.steadyLoad) * quick;
            }
            if (!out(r) && r.settled > 0) {
                settled += r.settled;
                busy += r.busyTime;
                double weight = tables().get(0).rows.get(r) == null ? 0 : tables().get(0).rows.get(r).weight;
                load += r.steadyLoad * weight;
                latest += r.load * weight;
                weights += weight;
                in++;
            }
            tries += r.tries;
            voided += r.voided;
            waited += r.waited;
        }
        meanLoad = weights == 0 ? 0 : load / weights;
        voidShare = voided / (tries + 1);
        double answerTime = waited / (tries - voided + 1);
        for (Replica r : roll) {
            health(r);
            r.tries *= 1 - quick;
            r.voided *= 1 - quick;
            r.waited *= 1 - quick;
        }
        double perBusy = busy > 0 ? settled / busy : 0;
        double meanListed = 0;
        for (Replica r : roll) {
            meanListed += r.listedWeight / roll.size();
        }
        for (Replica r : roll) {
            double listed = r.listedWeight / meanListed;
            double met = in == 0 ? 0 : PRIOR * settled / in;
            r.speed = perBusy <= 0 ? listed
                    : (r.settled + met * listed) / (r.busyTime + PRIOR * busy / in) / perBusy;
        }
        admit(weights == 0 ? 0 : latest / weights, answerTime);
        for (Table t : tables()) {
            step(t, meanLoad > 0 ? meanLoad : USUAL_LOAD);
        }
    }

    /** Halfway to the inverse of load per share received, with growth held for what comes up from little. */
    private void step(Table t, double usual) {
        double mean = mean(t);
        for (Row row : t.rows.values()) {
            Replica r = row.replica;
            if (r.stage != Stage.READY || out(r)) {
                continue;
            }
            double perShare = usual / Math.max(r.speed, 1e-3);
            double target = SCALE / Math.max(LEAST_LOAD, perShare) * narrowed(t, r) * sound(r);
            if (r.steadyLoad > BUSY && r.steadyLoad > meanLoad) {
                target = Math.min(target, row.weight * Math.max(0.5, 2 * meanLoad / r.steadyLoad - 1));
            }
            double next = Math.rint((row.weight + target) / 2);
            double cap = Math.max(SLOW_START * mean, row.weight * GROWTH);
            row.weight = Math.max(1, row.weight < 0.5 * mean || young(r) ? Math.min(next, cap) : next);
        }
    }

    /** Products open to fewer replicas load those; the wider table leaves room for them. */
    private double narrowed(Table t, Replica r) {
        double all = 0;
        double narrow = 0;
        double speeds = 0;
        for (Replica other : roll) {
            speeds += out(other) ? 0 : other.speed;
        }
        for (Table other : tables()) {
            double demand = 0;
            for (Product p : products) {
                demand += (other.mask >> p.index & 1) == 1 ? p.demand * p.level : 0;
            }
            all += demand;
            if (other != t && other.rows.size() < t.rows.size() && other.open(r)) {
                double open = 0;
                for (Row row : other.rows.values()) {
                    open += out(row.replica) ? 0 : row.replica.speed;
                }
                narrow += open > 0 ? demand / open : 0;
            }
        }
        return all > 0 && speeds > 0 ? Math.max(0.05, 1 - narrow * speeds / all) : 1;
    }

    private double sound(Replica r) {
        double share = r.voided / (r.tries + 2);
        return (1 - share) * (1 - share);
    }

    private void health(Replica r) {
        double share = r.voided / (r.tries + 1);
        if (!r.out && r.voided >= 2 && share > 0.35 + voidShare + (r.steadyLoad > SATURATED ? 0.3 : 0)) {
            r.sentence = now - r.outUntil < 20_000 ? Math.min(16_000, r.sentence * 2) : 4000;
            leaves(r, r.sentence, 0.5, "voided " + percent(share) + ", all " + percent(voidShare));
        } else if (r.out && now >= r.outUntil && (!probes || r.answered >= 2)) {
            r.out = false;
            comesBack(r, "answers");
        }
        boolean past = r.steadyLoad > ZERO_PAST && r.steadyLoad > ABOVE_REST * meanLoad;
        if (!r.zeroed && past && mayLeave(r, 0.5)) {
            r.zeroed = true;
            note("zeroed " + r.id + ": load " + percent(r.steadyLoad) + ", mean " + percent(meanLoad));
        } else if (r.zeroed && !past) {
            r.zeroed = false;
            comesBack(r, "load " + percent(r.steadyLoad));
        }
    }

    private void comesBack(Replica r, String why) {
        for (Table t : tables()) {
            Row row = t.rows.get(r);
            if (row != null) {
                row.weight = start(t);
            }
        }
        r.busyTime = r.settled = r.tries = r.voided = r.waited = 0;
        note("back " + r.id + ": " + why);
    }

    /**
     * Lets in what the replicas can do. Use is the mean load; a load
     * stops at all cores busy, so voided tries and slow answers count on top, and queues drain. The products that bring least are declined first.
     */
    private void admit(double use, double answerTime) {
        double sum = 0;
        double slaTime = 0;
        for (Product p : products) {
            p.demand = 0;
            for (Proxy proxy : proxies.values()) {
                p.demand += proxy.demand[p.index];
            }
            sum += p.demand;
            slaTime += p.demand * p.slaTime;
        }
        if (sum <= 0) {
            return;
        }
        double late = Math.max(0, answerTime / (slaTime / sum) - 0.5);
        double full = late > 0.2 && late + voidShare > 0.4 ? Math.max(1, use) : use;
        double strain = full * (1 + late + voidShare);
        boolean was = strained;
        strained = full > SATURATED && strain > 1 || strained && admitted < 1;
        if (strained) {
            double measured = past.size() < LAG_TURNS ? 1 : past.peekFirst();
            double step = measured * GOAL_LOAD / strain;
            admitted = Math.min(1, Math.max(0.7 * admitted, Math.min(1.25 * admitted, step)));
        }
        past.addLast(admitted);
        if (past.size() > LAG_TURNS) {
            past.pollFirst();
        }
        if (strained != was) {
            note((strained ? "declining" : "all let in") + ": use " + percent(use) + ", late " + percent(late)
                    + ", voided " + percent(voidShare));
        }
        double left = admitted * sum;
        for (Product p : products) {
            double higher = 0;
            double same = 0;
            for (Product other : products) {
                higher += other.revenue > p.revenue ? other.demand : 0;
                same += other.revenue == p.revenue ? other.demand : 0;
            }
            p.level = same <= 0 ? 1 : Math.max(LEAST_LEVEL, Math.min(1, (left - higher) / same));
        }
    }

    // ---- shared by the decisions

    private boolean out(Replica r) {
        return r.out || r.zeroed;
    }

    private double want(Row row) {
        return row.replica.stage != Stage.READY || out(row.replica) ? 0 : row.weight;
    }

    private boolean empty(Table t) {
        for (Row row : t.rows.values()) {
            if (row.sent > 0) {
                return false;
            }
        }
        return true;
    }

    /** Whether a replica may be kept out: some others must stay, or the given share of all. */
    private boolean mayLeave(Replica r, double share) {
        for (Table t : tables()) {
            if (!t.rows.containsKey(r)) {
                continue;
            }
            int listed = 0;
            int stay = 0;
            for (Row row : t.rows.values()) {
                listed += row.replica.stage == Stage.READY ? 1 : 0;
                stay += row.replica != r && want(row) > 0 ? 1 : 0;
            }
            if (stay < Math.max(1, listed * share)) {
                return false;
            }
        }
        return true;
    }

    private double mean(Table t) {
        double sum = 0;
        int n = 0;
        for (Row row : t.rows.values()) {
            if (want(row) > 0) {
                sum += row.weight;
                n++;
            }
        }
        return n == 0 ? SCALE / USUAL_LOAD : sum / n;
    }

    private double start(Table t) {
        return Math.max(1, Math.rint(mean(t) * SLOW_START));
    }

    private double listedShare(Replica r, Table t) {
        double sum = 0;
        int n = 0;
        for (Replica other : roll) {
            if (t.open(other)) {
                sum += other.listedWeight;
                n++;
            }
        }
        return Math.max(1, Math.rint(SCALE / USUAL_LOAD * (n == 0 ? 1 : r.listedWeight * n / sum)));
    }

    private boolean young(Replica r) {
        return r.startedAt > 0 && now - r.startedAt < warmAfter;
    }

    private double coldShare(Replica r) {
        return Math.min(1, coldFrom + (1 - coldFrom) * (now - r.startedAt) / warmAfter);
    }

    private double probePace() {
        double sum = 0;
        for (Product p : products) {
            sum += p.demand;
        }
        return Math.max(TURN, sum > 0 ? Math.min(4 * TURN, roll.size() / (0.25 * sum) * 1000) : TURN);
    }

    /** The rate at each proxy that lets in the product's share: those with little keep all of theirs. */
    private double rate(Product product) {
        double most = 0;
        for (Proxy p : proxies.values()) {
            most = Math.max(most, p.demand[product.index]);
        }
        if (product.level >= 1 || most <= 0) {
            return UNLIMITED;
        }
        double low = 0;
        double high = most;
        for (int i = 0; i < 20; i++) {
            double middle = (low + high) / 2;
            double sum = 0;
            for (Proxy p : proxies.values()) {
                sum += Math.min(middle, p.demand[product.index]);
            }
            if (sum < product.level * product.demand) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return Math.max(0.1, high);
    }

    private List<Proxy> audience(Table t) {
        List<Proxy> bound = new ArrayList<>();
        for (Proxy p : proxies.values()) {
            if ((p.tables >> t.number & 1) == 1) {
                bound.add(p);
            }
        }
        return bound;
    }

    /** Products with the same replicas open to them share a table; own-zone ones have one for each zone. */
    private List<Table> tables() {
        if (tables.isEmpty()) {
            for (Product p : products) {
                Table same = null;
                for (Table t : tables) {
                    same = t.first.kinds == p.kinds && t.first.zones == p.zones && !p.homeOnly ? t : same;
                }
                if (same == null) {
                    same = new Table(tables.size(), p, -1, products.length);
                    tables.add(same);
                }
                same.mask |= 1 << p.index;
            }
        }
        return tables;
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

    /** The gate: one model of the lines that wait in the channel and of the messages to each proxy. */
    private static final class Channel {
        /** Of the stated pace, what is counted on: a channel may run slow for a while. */
        private static final double TRUSTED = 0.5;

        private final double pace;
        private final double head;
        private final double cap;
        private final int messageCap;
        private final double messageSpan;
        private double waiting;
        private double at;

        Channel(double pace, double head, double cap, int messageCap, double messageSpan) {
            this.pace = pace;
            this.head = head;
            this.cap = cap;
            this.messageCap = messageCap;
            this.messageSpan = messageSpan;
        }

        /** Whether lines for these proxies fit into the given part of the limits. */
        boolean admits(List<Proxy> to, int lines, double now, double part) {
            waiting = Math.max(0, waiting - (now - at) * pace * TRUSTED);
            at = now;
            double cost = 0;
            for (Proxy p : to) {
                boolean open = !p.messages.isEmpty() && p.messages.peekLast() == now;
                cost += lines + (open ? 0 : head);
                while (!p.messages.isEmpty() && p.messages.peekFirst() < now - messageSpan - TURN / 4) {
                    p.messages.pollFirst();
                }
                if (messageCap > 0 && !open && p.messages.size() + 1 > part * messageCap) {
                    return false;
                }
            }
            return waiting + cost <= part * cap;
        }

        void book(List<Proxy> to, int lines, double now) {
            for (Proxy p : to) {
                if (p.messages.isEmpty() || p.messages.peekLast() != now) {
                    p.messages.addLast(now);
                    waiting += head;
                }
                waiting += lines;
            }
        }
    }
}
