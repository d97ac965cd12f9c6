package sprucelanding.control.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The list of endpoints as discovery reported it.
 *
 * <p>An update is a JSON object with the fields version, whole (true if the update has all
 * endpoints, false if it has changes only) and servers. Each server has the fields id, at
 * (host:port), zone, kind, weight, started and stage. An update is applied entirely or not at all.
 *
 * <p>The class is not thread-safe.
 */
public final class EndpointList {
    /** Thrown for an update that cannot be applied. The message names the invalid field. */
    public static final class InvalidEndpointListException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidEndpointListException(String reason) {
            super(reason);
        }
    }

    /**
     * An update that was applied.
     *
     * @param version the list's version after the update
     * @param isComplete whether the update has all endpoints; false if it has changes only
     * @param entries the endpoints of the update
     */
    public record ListUpdate(long version, boolean isComplete, List<ListedEndpoint> entries) {}

    private static final int MAX_ENTRIES = 20_000;
    private static final long NO_VERSION = -1;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> zones;
    private final List<String> machineKinds;
    private final EndpointEntryParser entryParser;
    private final Map<Long, ListedEndpoint> endpointsById = new LinkedHashMap<>();
    private long version = NO_VERSION;
    private boolean acceptsLowerVersion = true;

    /**
     * Creates an empty list.
     *
     * @param zones names of the site's zones
     * @param machineKinds names of the site's machine kinds
     */
    public EndpointList(List<String> zones, List<String> machineKinds) {
        this.zones = zones;
        this.machineKinds = machineKinds;
        this.entryParser = new EndpointEntryParser(zones, machineKinds);
    }

    /** Returns the version of the latest update; -1 if there was none. */
    public long version() {
        return version;
    }

    /** Returns the endpoint with an id; null if the endpoint is not listed. */
    public ListedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    /** Returns all listed endpoints, in the order in which they were first listed. */
    public Collection<ListedEndpoint> endpoints() {
        return endpointsById.values();
    }

    /**
     * Records that a new connection to discovery is open. Discovery may have restarted and may
     * count versions from the beginning again, so the next complete list is applied whatever its
     * version.
     */
    public void connectionOpened() {
        acceptsLowerVersion = true;
    }

    /**
     * Applies an update. An update with changes only must directly follow the current version.
     *
     * @return the applied update; null if the update is not newer than the list
     * @throws InvalidEndpointListException if the update is malformed, or if changes between the
     *     list and the update are missing
     */
    public ListUpdate update(String json) throws InvalidEndpointListException {
        JsonNode root = parseObject(json);
        long newVersion = EndpointEntryParser.requireNumber(root, "version", "list").longValue();
        boolean isComplete = root.path("whole").asBoolean(false);
        JsonNode servers = root.path("servers");
        if (!servers.isArray() || servers.size() > MAX_ENTRIES) {
            throw new InvalidEndpointListException(
                    "servers: expected a list of at most "
                            + MAX_ENTRIES
                            + " entries, found "
                            + servers.getNodeType()
                            + " with "
                            + servers.size());
        }
        if (newVersion <= version && !(acceptsLowerVersion && isComplete)) {
            return null;
        }
        if (!isComplete && newVersion != version + 1) {
            throw new InvalidEndpointListException(
                    "version: expected changes of version "
                            + (version + 1)
                            + " or a complete list, found changes of version "
                            + newVersion);
        }
        List<ListedEndpoint> entries = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            entries.add(entryParser.parse(servers.get(i), "servers[" + i + "]"));
        }
        apply(entries, isComplete);
        version = newVersion;
        return new ListUpdate(newVersion, isComplete, entries);
    }

    private static JsonNode parseObject(String json) throws InvalidEndpointListException {
        JsonNode root;
        try {
            root = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            throw new InvalidEndpointListException(
                    "expected a JSON object, found malformed JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            throw new InvalidEndpointListException("expected a JSON object");
        }
        return root;
    }

    private void apply(List<ListedEndpoint> entries, boolean isComplete) {
        if (isComplete) {
            acceptsLowerVersion = false;
            endpointsById.clear();
        }
        for (ListedEndpoint endpoint : entries) {
            if (endpoint.state() == ListedEndpoint.State.GONE) {
                endpointsById.remove(endpoint.id());
            } else {
                endpointsById.put(endpoint.id(), endpoint);
            }
        }
    }

    /** Formats the list as a complete update, which {@link #update} can apply. */
    public String toJson() {
        return formatUpdate(
                Math.max(0, version), true, endpointsById.values(), zones, machineKinds);
    }

    private static void appendEntry(
            ArrayNode array,
            ListedEndpoint endpoint,
            List<String> zones,
            List<String> machineKinds) {
        array.addObject()
                .put("id", endpoint.id())
                .put("at", endpoint.host() + ":" + endpoint.port())
                .put("zone", zones.get(endpoint.zone()))
                .put("kind", machineKinds.get(endpoint.machineKind()))
                .put("weight", endpoint.weight())
                .put("started", endpoint.startEpochMillis())
                .put("stage", endpoint.state().name().toLowerCase(Locale.ROOT));
    }

    /** Formats an update as {@link #update} expects it, for a sender of updates. */
    public static String formatUpdate(
            long version,
            boolean isComplete,
            Collection<ListedEndpoint> endpoints,
            List<String> zones,
            List<String> machineKinds) {
        ObjectNode root = JSON.createObjectNode().put("version", version).put("whole", isComplete);
        ArrayNode servers = root.putArray("servers");
        endpoints.forEach(endpoint -> appendEntry(servers, endpoint, zones, machineKinds));
        return root.toString();
    }
}
