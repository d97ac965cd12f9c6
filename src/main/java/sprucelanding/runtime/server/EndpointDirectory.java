package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.decision.StartTimeConverter;

/**
 * The directory of endpoints, by discovery's names and by the governor's own numbers. It applies
 * discovery's lists to its endpoints and to the controller. The directory is used on the event
 * loop's thread only.
 */
final class EndpointDirectory {
    /** Time for which an endpoint stays in the directory after it was listed as gone. */
    private static final double GONE_RETENTION_MILLIS = 180_000;

    /**
     * Time for which discovery may be behind what it has told before. If it shows an earlier state
     * for longer, it has begun anew, and its revisions cannot be compared with the earlier ones.
     */
    static final double MAX_DISCOVERY_LAG_MILLIS = 10_000;

    private static final int DEFAULT_KIND = 0;
    private static final long NO_REVISION = -1;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, DiscoveredEndpoint> endpointsByUid = new LinkedHashMap<>();
    private final Map<Long, DiscoveredEndpoint> endpointsById = new HashMap<>();
    private final StartTimeConverter startTimeConverter = new StartTimeConverter();

    /**
     * Whether discovery has sent a list since the governor started. An endpoint that appears in a
     * later change has just started.
     */
    private boolean hasReceivedList;

    private long nextId = 1;
    private long revision = NO_REVISION;

    /**
     * Creates an empty directory.
     *
     * @param zones names of the site's zones, by number
     * @param kinds names of the site's kinds of endpoints, by number
     */
    EndpointDirectory(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Returns the endpoint with the given name, or null. */
    DiscoveredEndpoint find(String uid) {
        return endpointsByUid.get(uid);
    }

    /** Returns the endpoint with the given number, or null. */
    DiscoveredEndpoint find(long endpointId) {
        return endpointsById.get(endpointId);
    }

    /** Returns the number of the zone with the given name; -1 if there is none. */
    int zoneIndex(String name) {
        return zones.indexOf(name);
    }

    /** Returns the revision of the last list that was applied in full; -1 while there is none. */
    long revision() {
        return revision;
    }

    /** Returns the number of endpoints that may be sent requests. */
    int readyCount() {
        int count = 0;
        for (DiscoveredEndpoint endpoint : endpointsByUid.values()) {
            if (endpoint.state() == EndpointState.AVAILABLE) {
                count++;
            }
        }
        return count;
    }

    /** Returns by how much this machine's clock is estimated to be ahead of discovery's, ms. */
    double clockErrorMillis() {
        return startTimeConverter.clockErrorMs();
    }

    /** Returns the number of endpoints whose last entry was outdated and has not been applied. */
    int withheldCount() {
        int count = 0;
        for (DiscoveredEndpoint endpoint : endpointsByUid.values()) {
            count += endpoint.isEntryWithheld() ? 1 : 0;
        }
        return count;
    }

    /**
     * Applies a list or changes of it, also to the controller. If a list has malformed entries, its
     * other entries are applied as changes, so that no known endpoint is lost. An entry is withheld
     * if it shows an earlier state of a process whose end a list of a higher revision has told.
     *
     * @param nowMillis the current time, ms of the controller's clock
     * @return false if some entries were malformed
     * @throws sprucelanding.control.settings.MalformedInputException if the list as a whole is
     *     malformed
     */
    boolean applyList(
            JsonObject json, ListOrigin origin, double nowMillis, RoutingController controller) {
        EndpointListUpdate update = EndpointListUpdate.parse(json);
        boolean isStartObserved = hasReceivedList && !update.isFull();
        Set<DiscoveredEndpoint> listed = new LinkedHashSet<>();
        boolean isComplete = true;
        boolean isClockCorrected = false;
        for (JsonValue item : update.entries()) {
            Optional<DiscoveredEndpoint> endpoint = applyEntry(item, update.revision(), nowMillis);
            if (endpoint.isEmpty()) {
                isComplete = false;
            } else if (listed.add(endpoint.get()) && endpoint.get().hasPendingStart()) {
                isClockCorrected |= observeStart(endpoint.get(), nowMillis, isStartObserved);
            }
        }
        hasReceivedList |= origin == ListOrigin.DISCOVERY;
        if (isClockCorrected) {
            correctStartTimes(controller);
        }
        boolean replacesAll = update.isFull() && isComplete;
        controller.endpointListStarted(replacesAll, origin == ListOrigin.LAST_RUN);
        for (DiscoveredEndpoint endpoint : listed) {
            endpoint.setGoneAtMillis(endpoint.isGone() ? nowMillis : 0);
            sendToController(endpoint, controller);
        }
        controller.endpointListCompleted();
        if (replacesAll) {
            markUnlistedGone(listed, update.revision(), nowMillis);
        }
        revision = isComplete ? update.revision() : revision;
        return isComplete;
    }

    /** Reads an entry and updates its endpoint; returns nothing if the entry is malformed. */
    private Optional<DiscoveredEndpoint> applyEntry(
            JsonValue item, long listRevision, double nowMillis) {
        Optional<EndpointEntry> parsed = EndpointEntry.parse(item, zones);
        if (parsed.isEmpty()) {
            return Optional.empty();
        }
        EndpointEntry entry = parsed.get();
        DiscoveredEndpoint known = endpointsByUid.get(entry.uid());
        if (known != null && isOutdated(entry, known, listRevision, nowMillis)) {
            return Optional.of(known);
        }
        if (entry.attributes().isPresent()) {
            return Optional.of(update(known, entry, entry.attributes().get(), listRevision));
        }
        if (known == null) { // without attributes, an unknown endpoint cannot be created
            return Optional.empty();
        }
        known.setState(entry.state(), listRevision);
        return Optional.of(known);
    }

    private static boolean isOutdated(
            EndpointEntry entry, DiscoveredEndpoint known, long listRevision, double nowMillis) {
        double bootMillis =
                entry.attributes().map(EndpointEntry.Attributes::bootMillis).orElse(0.0);
        return known.isAheadOf(entry.state(), bootMillis, listRevision)
                && nowMillis - known.outdatedEntryListed(nowMillis) < MAX_DISCOVERY_LAG_MILLIS;
    }

    private DiscoveredEndpoint update(
            DiscoveredEndpoint known,
            EndpointEntry entry,
            EndpointEntry.Attributes attributes,
            long listRevision) {
        DiscoveredEndpoint endpoint = known == null ? create(entry.uid()) : known;
        endpoint.setLocation(attributes.address(), zones.indexOf(attributes.zone()));
        endpoint.setCapacity(kindIndex(attributes.kind()), attributes.weight());
        if (known == null) {
            endpoint.setFirstBootMillis(attributes.bootMillis());
        } else {
            endpoint.setBootMillis(attributes.bootMillis());
        }
        endpoint.setState(entry.state(), listRevision);
        return endpoint;
    }

    private DiscoveredEndpoint create(String uid) {
        DiscoveredEndpoint endpoint = new DiscoveredEndpoint(nextId, uid);
        nextId++;
        endpointsByUid.put(uid, endpoint);
        endpointsById.put(endpoint.id(), endpoint);
        return endpoint;
    }

    /**
     * Returns the number of a machine kind that a list gives by number or by name; the default kind
     * if the list gives none of the site.
     */
    private int kindIndex(JsonValue kind) {
        if (kind == null) {
            return DEFAULT_KIND;
        }
        double number = kind.isNumber() ? kind.asDouble() : DEFAULT_KIND;
        boolean isWhole = number == Math.rint(number) && Math.abs(number) <= Integer.MAX_VALUE;
        int index = kind.isString() ? kinds.indexOf(kind.asString()) : (int) number;
        return isWhole ? Math.max(DEFAULT_KIND, index) : DEFAULT_KIND;
    }

    /**
     * Converts a new start to the controller's clock.
     *
     * @return whether that clock was found to be wrong
     */
    private boolean observeStart(
            DiscoveredEndpoint endpoint, double nowMillis, boolean isStartObserved) {
        boolean isClockCorrected =
                startTimeConverter.observe(endpoint.bootMillis(), nowMillis, isStartObserved);
        endpoint.setStartedAtMillis(startTimeConverter.toHostTime(endpoint.bootMillis()));
        return isClockCorrected;
    }

    /** Converts all known starts again after the controller's clock was found to be wrong. */
    private void correctStartTimes(RoutingController controller) {
        for (DiscoveredEndpoint endpoint : endpointsByUid.values()) {
            double startedAtMillis = startTimeConverter.toHostTime(endpoint.bootMillis());
            if (startedAtMillis != endpoint.startedAtMillis()) {
                endpoint.correctStartedAtMillis(startedAtMillis);
                controller.startTimeCorrected(endpoint.id(), startedAtMillis);
            }
        }
    }

    private static void sendToController(
            DiscoveredEndpoint endpoint, RoutingController controller) {
        controller.endpointListed(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.weight(),
                endpoint.startedAtMillis(),
                endpoint.state());
    }

    private void markUnlistedGone(
            Set<DiscoveredEndpoint> listed, long listRevision, double nowMillis) {
        for (DiscoveredEndpoint endpoint : endpointsByUid.values()) {
            if (!endpoint.isGone() && !listed.contains(endpoint)) {
                endpoint.setState(EndpointState.GONE, listRevision);
                endpoint.setGoneAtMillis(nowMillis);
            }
        }
    }

    /**
     * Removes the endpoints that have been gone for longer than the retention time. An endpoint
     * that a table still holds is kept: the update that removes it from the table needs its name.
     *
     * @return whether any endpoint was removed
     */
    boolean removeGone(double nowMillis, LongPredicate isInTable) {
        endpointsById
                .values()
                .removeIf(
                        endpoint ->
                                endpoint.isGone()
                                        && nowMillis - endpoint.goneAtMillis()
                                                > GONE_RETENTION_MILLIS
                                        && !isInTable.test(endpoint.id()));
        return endpointsByUid
                .values()
                .removeIf(endpoint -> !endpointsById.containsKey(endpoint.id()));
    }
}
