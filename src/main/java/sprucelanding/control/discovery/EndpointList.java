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
 * The list. A told list is a JSON object: version, whole (true for all, else changes), servers with
 * id, at (host:port), zone, kind, weight, started, stage. All of a told list is taken or none of
 * it.
 */
public final class EndpointList {
    /** What cannot be taken, with the place in the text that is wrong. */
    public static final class InvalidEndpointListException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidEndpointListException(String reason) {
            super(reason);
        }
    }

    /** A told list that was taken: what is in it, and whether it is all there is. */
    public record ListUpdate(long version, boolean complete, List<ListedEndpoint> entries) {}

    private static final int MAX_ENTRIES = 20_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> zones;
    private final List<String> machineKinds;
    private final Map<Long, ListedEndpoint> endpointsById = new LinkedHashMap<>();
    private long version = -1;
    private boolean acceptLowerVersion = true;

    public EndpointList(List<String> zones, List<String> machineKinds) {
        this.zones = zones;
        this.machineKinds = machineKinds;
    }

    public long version() {
        return version;
    }

    public ListedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    public Collection<ListedEndpoint> endpoints() {
        return endpointsById.values();
    }

    /**
     * A new connection: a roster that started anew may count versions anew, so the next whole list
     * is taken.
     */
    public void connectionOpened() {
        acceptLowerVersion = true;
    }

    /**
     * Takes a told list; null if it is no newer than what is known. Changes need the version right
     * before them.
     */
    public ListUpdate update(String json) throws InvalidEndpointListException {
        JsonNode root;
        try {
            root = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            throw new InvalidEndpointListException("no JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            throw new InvalidEndpointListException("no JSON object");
        }
        long newVersion = requireNumber(root, "version", "list").longValue();
        boolean complete = root.path("whole").asBoolean(false);
        JsonNode servers = root.path("servers");
        if (!servers.isArray() || servers.size() > MAX_ENTRIES) {
            throw new InvalidEndpointListException(
                    "servers: expected a list of at most " + MAX_ENTRIES);
        }
        if (newVersion <= version && !(acceptLowerVersion && complete)) {
            return null;
        }
        if (!complete && newVersion != version + 1) {
            throw new InvalidEndpointListException(
                    "changes of version "
                            + newVersion
                            + " after version "
                            + version
                            + ": some are missing");
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            endpoints.add(endpoint(servers.get(i), "servers[" + i + "]"));
        }
        if (complete) {
            acceptLowerVersion = false;
            endpointsById.clear();
        }
        for (ListedEndpoint endpoint : endpoints) {
            if (endpoint.state() == ListedEndpoint.State.GONE) {
                endpointsById.remove(endpoint.id());
            } else {
                endpointsById.put(endpoint.id(), endpoint);
            }
        }
        version = newVersion;
        return new ListUpdate(newVersion, complete, endpoints);
    }

    private ListedEndpoint endpoint(JsonNode node, String path)
            throws InvalidEndpointListException {
        long id = requireNumber(node, "id", path).longValue();
        if (id <= 0 || id > 0xffff_ffffL) {
            throw new InvalidEndpointListException(
                    path + ".id: " + id + " is not from 1 to 2^32-1");
        }
        String address = node.path("at").asText("");
        int colon = address.lastIndexOf(':');
        int port = 0;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            // said below
        }
        if (colon < 1 || port < 1 || port > 65_535) {
            throw new InvalidEndpointListException(
                    path + ".at: \"" + address + "\" is no host:port");
        }
        double weight = node.path("weight").asDouble(1);
        if (!(weight > 0) || weight > 1e6) {
            throw new InvalidEndpointListException(
                    path + ".weight: " + weight + " is not above 0 and at most 1e6");
        }
        double startedAt = node.path("started").asDouble(0);
        if (!(startedAt >= 0) || Double.isInfinite(startedAt)) {
            throw new InvalidEndpointListException(path + ".started: " + startedAt + " is no time");
        }
        ListedEndpoint.State state;
        try {
            state =
                    ListedEndpoint.State.valueOf(
                            node.path("stage").asText("ready").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidEndpointListException(path + ".stage: none of ready, draining, gone");
        }
        return new ListedEndpoint(
                id,
                address.substring(0, colon),
                port,
                indexOfName(zones, node, "zone", path),
                indexOfName(machineKinds, node, "kind", path),
                weight,
                startedAt,
                state);
    }

    private static int indexOfName(List<String> names, JsonNode node, String field, String path)
            throws InvalidEndpointListException {
        String name = node.path(field).asText("");
        int index = names.indexOf(name);
        if (index < 0 && !(name.isEmpty() && names.size() == 1)) {
            throw new InvalidEndpointListException(
                    path + "." + field + ": \"" + name + "\" is none of " + names);
        }
        return Math.max(0, index);
    }

    private static Number requireNumber(JsonNode node, String field, String path)
            throws InvalidEndpointListException {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw new InvalidEndpointListException(path + "." + field + ": expected a number");
        }
        return value.numberValue();
    }

    /** The list as text that tell takes. */
    public String toJson() {
        ObjectNode root =
                JSON.createObjectNode().put("version", Math.max(0, version)).put("whole", true);
        ArrayNode servers = root.putArray("servers");
        endpointsById
                .values()
                .forEach(endpoint -> appendEntry(servers, endpoint, zones, machineKinds));
        return root.toString();
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
                .put("started", endpoint.startedAt())
                .put("stage", endpoint.state().name().toLowerCase(Locale.ROOT));
    }

    /** A told list in the same form, for whoever tells. */
    public static String formatUpdate(
            long version,
            boolean complete,
            Collection<ListedEndpoint> endpoints,
            List<String> zones,
            List<String> machineKinds) {
        ObjectNode root = JSON.createObjectNode().put("version", version).put("whole", complete);
        ArrayNode servers = root.putArray("servers");
        endpoints.forEach(endpoint -> appendEntry(servers, endpoint, zones, machineKinds));
        return root.toString();
    }
}
