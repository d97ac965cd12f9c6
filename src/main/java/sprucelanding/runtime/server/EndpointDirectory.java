package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import sprucelanding.control.decision.BootClock;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.settings.MalformedInputException;

/**
 * Replicas by the names that discovery gives them; ids are ours. It puts discovery's answers to the
 * module.
 */
final class EndpointDirectory {
    private static final double GONE_RETENTION_MILLIS =
            180_000; // ms for which one that is gone can still be named

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, DiscoveredEndpoint> endpointsByUid = new LinkedHashMap<>();
    private final Map<Long, DiscoveredEndpoint> endpointsById = new HashMap<>();
    private final BootClock bootClock = new BootClock();

    /** A list has been told since the start: what is new after it has just appeared. */
    private boolean listReceived;

    private long nextId = 1;

    /** Discovery's number of the list as held; -1 while there is none. */
    private long revision = -1;

    EndpointDirectory(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    DiscoveredEndpoint find(String uid) {
        return endpointsByUid.get(uid);
    }

    DiscoveredEndpoint find(long id) {
        return endpointsById.get(id);
    }

    int zoneIndex(String name) {
        return zones.indexOf(name);
    }

    long revision() {
        return revision;
    }

    int readyCount() {
        return (int)
                endpointsByUid.values().stream()
                        .filter(endpoint -> endpoint.state == EndpointState.AVAILABLE)
                        .count();
    }

    /**
     * Tells the module a list or changes; first for the one that was held before this start. False
     * if some of it could not be read: then what could be read counts as changes, so that nothing
     * that was known is lost. Throws Malformed if all is spoilt.
     */
    boolean applyList(
            JsonObject update,
            boolean fromLastRun,
            double nowMillis,
            RoutingController controller) {
        JsonValue targets = update.get("targets");
        JsonValue full = update.get("all");
        JsonValue revisionValue = update.get("rev");
        if (targets == null
                || !targets.isArray()
                || full == null
                || !full.isBoolean()
                || !isWholeNumber(revisionValue)) {
            throw new MalformedInputException("no list: rev, all or targets is missing");
        }
        JsonArray entries = targets.asArray();
        Set<DiscoveredEndpoint> parsed = new LinkedHashSet<>();
        int malformedCount = 0;
        boolean seenStarting = listReceived && !full.asBoolean();
        boolean corrected = false;
        for (JsonValue item : entries) {
            DiscoveredEndpoint endpoint = item.isObject() ? parseEntry(item.asObject()) : null;
            if (endpoint == null) {
                malformedCount++;
                continue;
            }
            if (parsed.add(endpoint) && endpoint.startPending) {
                corrected |= bootClock.observe(endpoint.bootMillis, nowMillis, seenStarting);
                endpoint.startedAtMillis = bootClock.localTime(endpoint.bootMillis);
                endpoint.startPending = false;
            }
        }
        listReceived |= !fromLastRun;
        if (corrected) {
            correctStartTimes(controller);
        }
        boolean complete = malformedCount == 0;
        boolean replacesAll = full.asBoolean() && complete;
        controller.endpointListStarted(replacesAll, fromLastRun);
        for (DiscoveredEndpoint endpoint : parsed) {
            endpoint.goneAtMillis = endpoint.state == EndpointState.GONE ? nowMillis : 0;
            controller.endpointListed(
                    endpoint.id,
                    endpoint.zone,
                    endpoint.kind,
                    endpoint.weight,
                    endpoint.startedAtMillis,
                    endpoint.state);
        }
        controller.endpointListCompleted();
        if (replacesAll) {
            endpointsByUid.values().stream()
                    .filter(
                            endpoint ->
                                    endpoint.state != EndpointState.GONE
                                            && !parsed.contains(endpoint))
                    .forEach(
                            endpoint -> {
                                endpoint.state = EndpointState.GONE;
                                endpoint.goneAtMillis = nowMillis;
                            });
        }
        revision = complete ? revisionValue.asLong() : revision;
        return complete;
    }

    /**
     * The clock was found to be wrong: all starts are read anew. None of them is a new start by
     * that.
     */
    private void correctStartTimes(RoutingController controller) {
        for (DiscoveredEndpoint endpoint : endpointsByUid.values()) {
            double startedAtMillis = bootClock.localTime(endpoint.bootMillis);
            if (startedAtMillis != endpoint.startedAtMillis) {
                endpoint.startedAtMillis = startedAtMillis;
                controller.startTimeCorrected(endpoint.id, startedAtMillis);
            }
        }
    }

    /** How far this machine's clock is found to be ahead of the one that starts are told by, ms. */
    double clockErrorMillis() {
        return bootClock.error();
    }

    /**
     * Drops the names of those long gone, but of none that a table still holds: its removal is
     * owed. True if there were any.
     */
    boolean removeGone(double nowMillis, LongPredicate isInTable) {
        endpointsById
                .values()
                .removeIf(
                        endpoint ->
                                endpoint.state == EndpointState.GONE
                                        && nowMillis - endpoint.goneAtMillis > GONE_RETENTION_MILLIS
                                        && !isInTable.test(endpoint.id));
        return endpointsByUid
                .values()
                .removeIf(endpoint -> !endpointsById.containsKey(endpoint.id));
    }

    private DiscoveredEndpoint parseEntry(JsonObject entry) {
        JsonValue uid = entry.get("uid");
        JsonValue state = entry.get("state");
        if (uid == null
                || !uid.isString()
                || uid.asString().isEmpty()
                || state == null
                || !state.isString()) {
            return null;
        }
        EndpointState endpointState =
                switch (state.asString()) {
                    case "ready" -> EndpointState.AVAILABLE;
                    case "draining" -> EndpointState.DRAINING;
                    case "gone" -> EndpointState.GONE;
                    default -> null;
                };
        DiscoveredEndpoint known = endpointsByUid.get(uid.asString());
        JsonValue addressValue = entry.get("endpoint");
        JsonValue zoneValue = entry.get("az");
        JsonValue bootValue = entry.get("boot_ms");
        JsonValue weightValue = entry.get("capacity_hint");
        JsonValue kindValue = entry.get("model");
        boolean valid =
                endpointState != null
                        && addressValue != null
                        && addressValue.isString()
                        && zoneValue != null
                        && zoneValue.isString()
                        && zones.contains(zoneValue.asString())
                        && (bootValue == null || bootValue.isNumber() && bootValue.asDouble() >= 0)
                        && (weightValue == null
                                || weightValue.isNumber() && weightValue.asDouble() >= 0);
        if (!valid) {
            if (endpointState == EndpointState.GONE
                    && known != null) { // of one that is gone, the name says all
                known.state = endpointState;
                return known;
            }
            return null;
        }
        InetSocketAddress address;
        try {
            address = NodeConfig.parseAddress(addressValue.asString(), "endpoint");
        } catch (MalformedInputException malformed) {
            return null;
        }
        DiscoveredEndpoint discovered = known;
        if (discovered == null) {
            discovered = new DiscoveredEndpoint(nextId++, uid.asString());
            endpointsByUid.put(discovered.uid, discovered);
            endpointsById.put(discovered.id, discovered);
        }
        discovered.address = address;
        discovered.zone = zones.indexOf(zoneValue.asString());
        discovered.kind =
                kindValue == null
                        ? 0
                        : kindValue.isNumber()
                                ? kindValue.asInt()
                                : Math.max(0, kinds.indexOf(kindValue.asString()));
        discovered.weight = weightValue == null ? 1 : weightValue.asDouble();
        double bootMillis = bootValue == null ? 0 : bootValue.asDouble();
        discovered.startPending = known == null || bootMillis != discovered.bootMillis;
        discovered.bootMillis = bootMillis;
        discovered.state = endpointState;
        return discovered;
    }

    private static boolean isWholeNumber(JsonValue value) {
        if (value == null || !value.isNumber()) {
            return false;
        }
        double number = value.asDouble();
        return number == Math.rint(number) && Math.abs(number) < 1L << 53;
    }
}
