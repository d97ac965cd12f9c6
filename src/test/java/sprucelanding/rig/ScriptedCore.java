package sprucelanding.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sprucelanding.delivery.Acts;
import sprucelanding.delivery.Delivery;
import sprucelanding.delivery.Holder;
import sprucelanding.delivery.Kind;
import sprucelanding.delivery.Message;
import sprucelanding.delivery.Name;
import sprucelanding.governor.Core;
import sprucelanding.governor.Front;
import sprucelanding.governor.Site;
import sprucelanding.intake.Report;
import sprucelanding.roster.Entry;

/**
 * A controller's core on a clock that stands still, for recorded transcripts: what a front tells it
 * goes straight to a delivery, and what the delivery sends is handed on at once. The script gives
 * the orders.
 */
public final class ScriptedCore implements Core, Site, Acts {
    private static final List<String> PRODUCTS = List.of("read", "write", "a&b<c>\"d\"");
    private static final int REPLICAS = 9;
    private static final int MESSAGES_PER_SPAN = 10_000;
    private static final double SPAN = 3000;
    private static final double LEFT_BEHIND = 15_000;
    private static final double PATIENCE = 20_000;
    private static final double GRACE = 10_000;
    private static final long LONGEST_WAIT_NANOS = 20_000_000_000L;
    private static final long LOOK_AGAIN_MS = 100;

    private final boolean byRate;
    private final long epoch;
    private final Consumer<Message> sends;
    private final Delivery delivery =
            new Delivery(MESSAGES_PER_SPAN, SPAN, LEFT_BEHIND, PATIENCE, GRACE);
    private final List<String> proxies = new ArrayList<>();
    private final Map<Integer, Integer> sent = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final Set<Integer> asked = new HashSet<>();
    private final List<Report> reports = new ArrayList<>();

    /**
     * @param byRate whether what is let in is a rate
     * @param epoch under which is written; 0 where no other governors share the fleet
     * @param sends takes each message
     */
    public ScriptedCore(boolean byRate, long epoch, Consumer<Message> sends) {
        this.byRate = byRate;
        this.epoch = epoch;
        this.sends = sends;
    }

    // What the script does.

    /** Orders of one moment. */
    public synchronized void orders(Consumer<Delivery> orders) {
        orders.accept(delivery);
        delivery.momentEnds();
        decides();
    }

    /** How many messages were sent to a proxy so far. */
    public synchronized int sent(String proxy) {
        return sent.getOrDefault(number(proxy), 0);
    }

    /** Waits until a proxy dialled and asked for something. */
    public void awaitDialled(String proxy) throws InterruptedException {
        await("a stream of " + proxy, () -> asked.contains(number(proxy)));
    }

    /** Waits until an answer of the proxy came. */
    public void awaitAnswer(String proxy, String nonce) throws InterruptedException {
        await(
                "answer " + nonce + " of " + proxy,
                () -> answered.contains(number(proxy) + "/" + nonce));
    }

    /** Waits for the next report that a proxy made. */
    public synchronized Report awaitReport() throws InterruptedException {
        await("a report", () -> !reports.isEmpty());
        return reports.remove(0);
    }

    private synchronized void await(String what, BooleanSupplier came) throws InterruptedException {
        long end = System.nanoTime() + LONGEST_WAIT_NANOS;
        while (!came.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not in time: " + what);
            }
            wait(LOOK_AGAIN_MS);
        }
    }

    private void decides() {
        while (delivery.decide(this)) {
            continue;
        }
    }

    // What a front tells.

    @Override
    public synchronized boolean dialled(
            Front front, Holder holder, String zone, double usual, boolean bare) {
        if (epoch > 0) {
            holder.leased(Double.POSITIVE_INFINITY, epoch);
        }
        delivery.joined(holder);
        return true;
    }

    @Override
    public synchronized boolean left(Holder holder) {
        delivery.left(holder.id);
        return true;
    }

    @Override
    public synchronized boolean subscribed(Holder holder, Kind kind, int table, boolean on) {
        if (on) {
            delivery.subscribed(holder, kind, table);
        } else {
            delivery.unsubscribed(holder, kind, table);
        }
        decides();
        asked.add(holder.id);
        notifyAll();
        return true;
    }

    @Override
    public synchronized boolean holds(Holder holder, Map<Name, String> versions) {
        versions.forEach((name, version) -> delivery.holds(holder, name, version));
        return true;
    }

    @Override
    public synchronized boolean holdsAll(Holder holder, Map<Name, String> versions) {
        delivery.holdsAll(holder, versions);
        decides();
        return true;
    }

    @Override
    public synchronized boolean answered(Holder holder, long message, String refusal) {
        if (refusal == null) {
            delivery.acked(holder, message);
        } else {
            delivery.refused(holder, message, refusal);
        }
        decides();
        answered.add(holder.id + "/" + message);
        notifyAll();
        return true;
    }

    @Override
    public synchronized boolean reported(Report report) {
        reports.add(report);
        notifyAll();
        return true;
    }

    @Override
    public synchronized int number(String proxy) {
        if (!proxies.contains(proxy)) {
            proxies.add(proxy);
        }
        return 1 + proxies.indexOf(proxy);
    }

    @Override
    public void written(Front front, Message message, double at, long bytes) {}

    // The site.

    @Override
    public List<String> products() {
        return PRODUCTS;
    }

    @Override
    public Entry replica(long id) {
        String host = id == 3 ? "replica-3.north.example" : "10.0.0." + id;
        return id < 1 || id > REPLICAS
                ? null
                : new Entry(id, host, 8000 + (int) id, 0, 0, 1, 0, Entry.Stage.READY);
    }

    @Override
    public long at(String host, int port) {
        long id = port - 8000;
        Entry entry = replica(id);
        return entry != null && entry.host().equals(host) ? id : 0;
    }

    @Override
    public boolean byRate() {
        return byRate;
    }

    // What the delivery decides.

    @Override
    public void send(Message message) {
        sent.merge(message.to.id, 1, Integer::sum);
        sends.accept(message);
    }

    @Override
    public void cut(Holder holder, String why) {
        throw new AssertionError("a stream is cut: " + why);
    }

    @Override
    public void inForce(Holder holder, int serial) {}

    @Override
    public void note(String text, Object... figures) {}
}
