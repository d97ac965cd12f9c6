package sprucelanding.control.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** Reads and checks one entry of an endpoint list. */
final class EndpointEntryParser {
    private static final long MAX_ID = 0xffff_ffffL;
    private static final int MAX_PORT = 65_535;
    private static final int INVALID_PORT = 0;
    private static final double MAX_WEIGHT = 1e6;

    private final List<String> zones;
    private final List<String> machineKinds;

    EndpointEntryParser(List<String> zones, List<String> machineKinds) {
        this.zones = zones;
        this.machineKinds = machineKinds;
    }

    /**
     * The endpoint of an entry.
     *
     * @param path where the entry stands, for messages
     */
    ListedEndpoint parse(JsonNode node, String path)
            throws EndpointList.InvalidEndpointListException {
        long id = requireNumber(node, "id", path).longValue();
        if (id <= 0 || id > MAX_ID) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".id: " + id + " is not from 1 to 2^32-1");
        }
        String address = node.path("at").asText("");
        int colon = address.lastIndexOf(':');
        int port = parsePort(address.substring(colon + 1));
        if (colon < 1 || port < 1 || port > MAX_PORT) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".at: \"" + address + "\" is no host:port");
        }
        double weight = node.path("weight").asDouble(1);
        if (!(weight > 0) || weight > MAX_WEIGHT) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".weight: " + weight + " is not above 0 and at most 1e6");
        }
        double startedAt = node.path("started").asDouble(0);
        if (!(startedAt >= 0) || Double.isInfinite(startedAt)) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".started: " + startedAt + " is no time");
        }
        ListedEndpoint.State state = parseState(node.path("stage").asText("ready"), path);
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

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return INVALID_PORT;
        }
    }

    private static ListedEndpoint.State parseState(String word, String path)
            throws EndpointList.InvalidEndpointListException {
        try {
            return ListedEndpoint.State.valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".stage: none of ready, draining, gone");
        }
    }

    /** Position of a name; one that is left out is the only one that there is. */
    private static int indexOfName(List<String> names, JsonNode node, String field, String path)
            throws EndpointList.InvalidEndpointListException {
        String name = node.path(field).asText("");
        int index = names.indexOf(name);
        if (index < 0 && !(name.isEmpty() && names.size() == 1)) {
            throw new EndpointList.InvalidEndpointListException(
                    path + "." + field + ": \"" + name + "\" is none of " + names);
        }
        return Math.max(0, index);
    }

    /** The number of a field that must be there. */
    static Number requireNumber(JsonNode node, String field, String path)
            throws EndpointList.InvalidEndpointListException {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw new EndpointList.InvalidEndpointListException(
                    path + "." + field + ": expected a number");
        }
        return value.numberValue();
    }
}
