package sprucelanding.simulation.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints as discovery lists them, in numbered revisions; every change is kept. */
final class SoakEndpoints {
    /** The state of an endpoint, by its name on the wire. */
    enum State {
        READY,
        DRAINING,
        GONE;

        String wireName() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** One change; {@code bootMillis} is wall-clock time, 0 if the endpoint started long ago. */
    record Change(
            long revision, String uid, int zone, State state, long bootMillis, double changedAt) {}

    private final String address;
    private final String[] zones;
    private final Map<String, Change> current = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision;
    private int created;

    /** All endpoints are probed at the same address, HOST:PORT. */
    SoakEndpoints(int count, String[] zones, String address) {
        this.address = address;
        this.zones = zones;
        for (int i = 0; i < count; i++) {
            String uid = "s-" + created++;
            current.put(
                    uid,
                    new Change(0, uid, i % zones.length, State.READY, 0, Double.NEGATIVE_INFINITY));
        }
    }

    long revision() {
        return revision;
    }

    /** Those that are ready, oldest first. */
    List<Change> ready() {
        return current.values().stream().filter(entry -> entry.state() == State.READY).toList();
    }

    /** Those that drain or are gone. */
    List<Change> removed() {
        return current.values().stream().filter(entry -> entry.state() != State.READY).toList();
    }

    Change get(String uid) {
        return current.get(uid);
    }

    /** Enters one change as a revision of its own. */
    void change(String uid, State state, double now) {
        Change previous = current.get(uid);
        record(new Change(++revision, uid, previous.zone(), state, previous.bootMillis(), now));
    }

    /** A new endpoint in that zone that has just started. */
    void add(int zone, long bootMillis, double now) {
        record(new Change(++revision, "s-" + created++, zone, State.READY, bootMillis, now));
    }

    private void record(Change change) {
        current.put(change.uid(), change);
        changes.add(change);
    }

    List<Change> changesSince(long after) {
        return changes.stream().filter(entry -> entry.revision() > after).toList();
    }

    /**
     * What a watch that had that revision is to be told: the changes since, or the whole list if it
     * had none.
     */
    List<Change> responseSince(long after) {
        return after >= 0
                ? changesSince(after)
                : current.values().stream().filter(entry -> entry.state() != State.GONE).toList();
    }

    /** The answer as discovery writes it, on one line. */
    String json(List<Change> entries, boolean whole) {
        StringBuilder text =
                new StringBuilder("{\"rev\":")
                        .append(revision)
                        .append(",\"all\":")
                        .append(whole)
                        .append(",\"targets\":[");
        for (Change entry : entries) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(entry.uid())
                    .append("\",\"endpoint\":\"")
                    .append(address)
                    .append("\",\"az\":\"")
                    .append(zones[entry.zone()])
                    .append("\",\"model\":\"m1\",\"pod_group\":0,\"state\":\"")
                    .append(entry.state().wireName())
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":")
                    .append(entry.bootMillis())
                    .append('}');
        }
        return text.append("]}").toString();
    }
}
