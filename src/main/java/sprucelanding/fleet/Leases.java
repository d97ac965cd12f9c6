package sprucelanding.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Who owns which part of the proxies. Proxies fall into slots by their names; a slot has one owner at a time, for as long as a
 * majority of all governors granted, and each new owner has a higher epoch. Safety rests on two things only: a lease is counted
 * by its owner from before it asked, by a voter from after it was asked; and clocks run at the same pace but for drift. Call
 * clock, then what was heard, then decide until it says false; ask owns right before each write.
 */
public final class Leases {
    /** A slot, and the epoch under which it is asked for or held. */
    public record Claim(int slot, long epoch) {
    }

    /** Asks for leases. Sent is when, on the asker's own clock; it comes back with the answer. */
    public record Ask(int from, long life, double sent, List<Claim> claims) {
    }

    /** Which claims were granted, and of those refused the highest epochs known. */
    public record Grant(int from, int to, long life, double sent, List<Claim> granted, List<Claim> refused) {
    }

    /** Slots given up, of which the last write has left; to: who should have them next, or -1. */
    public record Release(int from, long life, List<Claim> claims, int to) {
    }

    public interface Acts {
        void ask(Ask ask);

        void grant(Grant grant);

        void release(Release release);

        /** From now on this governor owns the slot, under this epoch. */
        void owned(int slot, long epoch);

        /** It does no longer. */
        void lost(int slot, long epoch);
    }

    private static final class Slot {
        // As a voter.
        int promised = -1;
        long promisedLife;
        long epoch;
        double until = Double.NEGATIVE_INFINITY;
        int preferred = -1;
        double preferredUntil;
        // As an owner.
        boolean mine;
        boolean wanted;
        long myEpoch;
        double ownUntil = Double.NEGATIVE_INFINITY;
        final Map<Integer, Double> grants = new HashMap<>();
        double retryAt = Double.NEGATIVE_INFINITY;
        long highest;
    }

    private static final double RENEW = 3; // times within a lease
    private static final double OVER = 1.25; // of its fair share, past which an owner gives slots away
    private static final double PREFERENCE = 0.5; // of a lease, for which a released slot waits for whom it was meant

    private final int self;
    private final long life;
    private final int governors;
    private final double lease;
    private final double drift;
    private final double quarantine;
    private final int pace;
    private final Slot[] slots;
    private final List<Runnable> due = new ArrayList<>();
    private Acts acts;
    private Set<Integer> live = new TreeSet<>();
    private boolean leaving;
    private double now;
    private final double began;
    private double asksAt = Double.NEGATIVE_INFINITY;

    /**
     * @param life ms since 1970 at which this process began; epochs begin there, so that they grow over restarts of all
     * @param governors how many there may be
     * @param slots parts that the proxies fall into
     * @param lease ms
     * @param drift most that two clocks' paces differ, as a share
     * @param quarantine ms after its start for which it grants nothing, for what it promised before is forgotten: a lease and
     *     its drift, or leases are not safe
     * @param pace slots that are claimed or given away at a time, so that proxies do not all move at once
     */
    public Leases(int self, long life, int governors, int slots, double lease, double drift, double quarantine, int pace,
            double now) {
        this.self = self;
        this.life = life;
        this.governors = governors;
        this.lease = lease;
        this.drift = drift;
        this.quarantine = quarantine;
        this.pace = pace;
        this.now = now;
        this.began = now;
        this.slots = new Slot[slots];
        Arrays.setAll(this.slots, i -> new Slot());
    }

    /** The slot that a proxy falls into, by its name. */
    public static int slot(String proxy, int slots) {
        return Math.floorMod(mix(proxy.hashCode()), slots);
    }

    private static int mix(int x) {
        int h = x * 0x9E3779B1;
        h ^= h >>> 15;
        h *= 0x85EBCA77;
        return h ^ h >>> 13;
    }

    public void clock(double time) {
        now = Math.max(now, time);
    }

    /** Who lives, itself among them, as Peers has it. */
    public void live(Set<Integer> those) {
        live = new TreeSet<>(those);
    }

    /** Planned: it gives away all it has, a few at a time, and claims no more. */
    public void leaves() {
        leaving = true;
    }

    // What is heard.

    public void asked(Ask ask) {
        if (now - began < quarantine) {
            return; // what an earlier life promised may still hold
        }
        List<Claim> granted = new ArrayList<>();
        List<Claim> refused = new ArrayList<>();
        for (Claim c : ask.claims()) {
            if (c.slot() < 0 || c.slot() >= slots.length) {
                continue;
            }
            (votes(ask.from(), ask.life(), c) ? granted : refused).add(
                    new Claim(c.slot(), Math.max(slots[c.slot()].epoch, c.epoch())));
        }
        Grant answer = new Grant(self, ask.from(), ask.life(), ask.sent(), granted, refused);
        if (ask.from() == self) {
            due.add(() -> granted(answer)); // its own vote
        } else {
            due.add(() -> acts.grant(answer));
        }
    }

    private boolean votes(int from, long fromLife, Claim c) {
        Slot s = slots[c.slot()];
        boolean same = s.promised == from && s.promisedLife == fromLife && s.epoch == c.epoch();
        boolean free = s.until < now && c.epoch() > s.epoch && (s.preferred < 0 || s.preferred == from || s.preferredUntil < now);
        if (!same && !free) {
            return false;
        }
        s.promised = from;
        s.promisedLife = fromLife;
        s.epoch = c.epoch();
        s.until = Math.max(s.until, now + lease * (1 + drift));
        s.preferred = -1;
        return true;
    }

    public void granted(Grant g) {
        if (g.to() != self || g.life() != life || g.sent() > now) {
            return; // to an earlier life, or forged
        }
        for (Claim c : g.granted()) {
            if (c.slot() >= 0 && c.slot() < slots.length) {
                counts(g.from(), c, g.sent());
            }
        }
        for (Claim c : g.refused()) {
            if (c.slot() >= 0 && c.slot() < slots.length) {
                slots[c.slot()].highest = Math.max(slots[c.slot()].highest, c.epoch());
            }
        }
    }

    private void counts(int voter, Claim c, double sent) {
        Slot s = slots[c.slot()];
        if (!s.wanted || c.epoch() != s.myEpoch) {
            return;
        }
        s.grants.merge(voter, sent, Math::max);
        if (2 * s.grants.size() > governors) {
            double[] all = s.grants.values().stream().mapToDouble(x -> x).sorted().toArray();
            double since = all[all.length - (governors / 2 + 1)]; // as old as the oldest of the newest majority
            s.ownUntil = since + lease;
            if (!s.mine && now < s.ownUntil) {
                s.mine = true;
                due.add(() -> acts.owned(c.slot(), s.myEpoch));
            }
        }
    }

    public void released(Release r) {
        for (Claim c : r.claims()) {
            if (c.slot() < 0 || c.slot() >= slots.length) {
                continue;
            }
            Slot s = slots[c.slot()];
            s.highest = Math.max(s.highest, c.epoch());
            if (s.promised == r.from() && s.promisedLife == r.life() && s.epoch == c.epoch()) {
                s.until = Double.NEGATIVE_INFINITY;
                s.preferred = r.to();
                s.preferredUntil = now + PREFERENCE * lease;
            }
            if (r.to() == self && !s.wanted) { // a release that comes twice must not undo a claim under way
                s.retryAt = Double.NEGATIVE_INFINITY;
                asksAt = Double.NEGATIVE_INFINITY;
            }
        }
    }

    // What is asked and decided.

    /** Whether a write may leave for proxies of this slot at this time on the own clock. */
    public boolean owns(int slot, double time) {
        Slot s = slots[slot];
        return s.mine && time < s.ownUntil;
    }

    /** The epoch under which it owns, or owned, a slot. */
    public long epoch(int slot) {
        return slots[slot].myEpoch;
    }

    /** Slots that it owns now. */
    public int owned() {
        int n = 0;
        for (int i = 0; i < slots.length; i++) {
            n += owns(i, now) ? 1 : 0;
        }
        return n;
    }

    /** One decision; false if there is none now. */
    public boolean decide(Acts to) {
        acts = to;
        if (!due.isEmpty()) {
            due.remove(0).run();
            return true;
        }
        for (int i = 0; i < slots.length; i++) {
            Slot s = slots[i];
            if (s.mine && now >= s.ownUntil) {
                gone(s);
                to.lost(i, s.myEpoch);
                return true;
            }
        }
        if (now < asksAt) {
            return false;
        }
        asksAt = now + lease / RENEW;
        givesAway();
        List<Claim> claims = claims();
        if (!claims.isEmpty()) {
            Ask ask = new Ask(self, life, now, claims);
            asked(ask);
            to.ask(ask);
        }
        return true;
    }

    private static void gone(Slot s) {
        s.mine = false;
        s.wanted = false;
        s.grants.clear();
        s.ownUntil = Double.NEGATIVE_INFINITY;
    }

    private List<Claim> claims() {
        List<Claim> claims = new ArrayList<>();
        int fresh = 0;
        for (int i = 0; i < slots.length; i++) {
            Slot s = slots[i];
            if (s.mine) {
                claims.add(new Claim(i, s.myEpoch));
                continue;
            }
            boolean may = !leaving && 2 * live.size() > governors && fresh < pace && s.until < now && s.retryAt <= now
                    && (s.preferred < 0 || s.preferred == self || s.preferredUntil < now);
            if (may && (favourite(i, live) == self || s.preferred == self)) {
                fresh++;
                s.wanted = true;
                s.grants.clear();
                s.myEpoch = Math.max(life, Math.max(s.epoch, Math.max(s.highest, s.myEpoch)) + 1);
                s.retryAt = now + lease / RENEW * (1 + mix(i * 31 + self + (int) now) % 100 / 200.0 + 0.5);
                claims.add(new Claim(i, s.myEpoch));
            } else if (s.wanted && s.retryAt <= now) {
                s.wanted = false;
                s.grants.clear();
            }
        }
        return claims;
    }

    /** What is beyond its share, or all if it leaves, goes to those for whom it is meant, a few at a time. */
    private void givesAway() {
        Set<Integer> others = new TreeSet<>(live);
        if (leaving) {
            others.remove(self);
        }
        if (others.isEmpty() || others.size() == 1 && others.contains(self)) {
            return;
        }
        int most = leaving ? 0 : (int) Math.ceil(OVER * slots.length / Math.max(1, live.size()));
        int mine = owned();
        Map<Integer, List<Claim>> given = new TreeMap<>();
        int moved = 0;
        for (int i = 0; i < slots.length && mine > most && moved < pace; i++) {
            int to = favourite(i, others);
            if (owns(i, now) && to != self) {
                Slot s = slots[i];
                given.computeIfAbsent(to, x -> new ArrayList<>()).add(new Claim(i, s.myEpoch));
                gone(s);
                long epoch = s.myEpoch;
                int slot = i;
                due.add(() -> acts.lost(slot, epoch));
                mine--;
                moved++;
            }
        }
        given.forEach((to, claims) -> {
            Release r = new Release(self, life, claims, to);
            due.add(() -> {
                released(r);
                acts.release(r);
            });
        });
    }

    /** The governor that a slot falls to among these: each slot has its own order of them, so that few move when one goes. */
    static int favourite(int slot, Set<Integer> among) {
        int best = -1;
        int most = 0;
        for (int id : among) {
            int score = mix(slot * 0x61C88647 + mix(id + 1));
            if (best < 0 || score > most) {
                best = id;
                most = score;
            }
        }
        return best;
    }
}
