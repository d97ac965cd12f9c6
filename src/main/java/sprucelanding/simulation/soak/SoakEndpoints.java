package sprucelanding.simulation.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/** The endpoint list of the simulated discovery service, with the history of its revisions. */
final class SoakEndpoints {
    /** The state of an endpoint. */
    enum State {
        READY,
        DRAINING,
        GONE;

        /** Returns the name of the state on the wire. */
        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A change of one endpoint.
     *
     * @param revision revision of the list that the change created
     * @param bootMillis wall-clock time of the endpoint's start in milliseconds; 0 if the endpoint
     *     started long before the soak
     * @param changedAt time of the change on the monotonic clock, in milliseconds
     */
    record Change(
            long revision, String uid, int zone, State state, long bootMillis, double changedAt) {}

    private final String address;
    private final String[] zones;
    private final Map<String, Change> current = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision;
    private int createdEndpoints;

    /**
     * Creates a list of ready endpoints.
     *
     * @param address address that answers the health checks of all endpoints, HOST:PORT
     */
    SoakEndpoints(int count, String[] zones, String address) {
        this.address = address;
        this.zones = zones;
        for (int i = 0; i < count; i++) {
            String uid = nextUid();
            current.put(
                    uid,
                    new Change(0, uid, i % zones.length, State.READY, 0, Double.NEGATIVE_INFINITY));
        }
    }

    long revision() {
        return revision;
    }

    /** Returns the ready endpoints, oldest first. */
    List<Change> ready() {
        return current.values().stream().filter(entry -> entry.state() == State.READY).toList();
    }

    /** Returns the ready endpoints of a zone. */
    List<Change> readyIn(int zone) {
        return ready().stream().filter(entry -> entry.zone() == zone).toList();
    }

    /** Returns the endpoints that are draining or gone. */
    List<Change> removed() {
        return current.values().stream().filter(entry -> entry.state() != State.READY).toList();
    }

    Change get(String uid) {
        return current.get(uid);
    }

    /** Changes the state of an endpoint, which creates a revision. */
    void change(String uid, State state, double now) {
        Change previous = current.get(uid);
        revision++;
        record(new Change(revision, uid, previous.zone(), state, previous.bootMillis(), now));
    }

    /** Makes an endpoint ready as a new process, which creates a revision. */
    void restart(String uid, long bootMillis, double now) {
        int zone = current.get(uid).zone();
        revision++;
        record(new Change(revision, uid, zone, State.READY, bootMillis, now));
    }

    /** Adds an endpoint that has just started, which creates a revision. */
    void add(int zone, long bootMillis, double now) {
        revision++;
        record(new Change(revision, nextUid(), zone, State.READY, bootMillis, now));
    }

    private String nextUid() {
        String uid = "s-" + createdEndpoints;
        createdEndpoints++;
        return uid;
    }

    private void record(Change change) {
        current.put(change.uid(), change);
        changes.add(change);
    }

    List<Change> changesSince(long after) {
        return changes.stream().filter(entry -> entry.revision() > after).toList();
    }

    /**
     * Returns the entries to send on a watch: the changes since a revision, or the full list.
     *
     * @param after last revision that was sent on the watch; empty for the full list
     */
    List<Change> responseSince(OptionalLong after) {
        return after.isPresent() ? changesSince(after.getAsLong()) : fullList();
    }

    private List<Change> fullList() {
        return current.values().stream().filter(entry -> entry.state() != State.GONE).toList();
    }

    /** Returns the full list in the JSON format of the discovery service. */
    String fullListJson() {
        return json(fullList(), true);
    }

    /**
     * Returns entries in the JSON format of the discovery service, on one line.
     *
     * @param isFullList whether the entries are the full list
     */
    String json(List<Change> entries, boolean isFullList) {
        StringBuilder text =
                new StringBuilder("{\"rev\":")
                        .append(revision)
                        .append(",\"all\":")
                        .append(isFullList)
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
