package sprucelanding.control.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** A parser of single entries of an endpoint list, which also checks their values. */
final class EndpointEntryParser {
    private static final long MAX_ID = 0xffff_ffffL;
    private static final int MAX_PORT = 65_535;
    private static final int INVALID_PORT = 0;
    private static final double MAX_WEIGHT = 1e6;

    /** Length to which error messages cut a value that they quote. */
    private static final int MAX_QUOTED_CHARS = 80;

    private final List<String> zones;
    private final List<String> machineKinds;

    EndpointEntryParser(List<String> zones, List<String> machineKinds) {
        this.zones = zones;
        this.machineKinds = machineKinds;
    }

    /**
     * Parses an entry.
     *
     * @param path the entry's position in the list, which error messages start with
     * @throws EndpointList.InvalidEndpointListException if a field is missing or invalid
     */
    ListedEndpoint parse(JsonNode node, String path)
            throws EndpointList.InvalidEndpointListException {
        long id = requireNumber(node, "id", path).longValue();
        if (id <= 0 || id > MAX_ID) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".id: expected a number from 1 to 2^32-1, found " + id);
        }
        String address = node.path("at").asText("");
        int colon = address.lastIndexOf(':');
        int port = parsePort(address.substring(colon + 1));
        if (colon < 1 || port < 1 || port > MAX_PORT) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".at: expected host:port, found " + quote(address));
        }
        double weight = node.path("weight").asDouble(1);
        if (!(weight > 0) || weight > MAX_WEIGHT) {
            throw new EndpointList.InvalidEndpointListException(
                    path + ".weight: expected a number above 0 and up to 1e6, found " + weight);
        }
        double startEpochMillis = node.path("started").asDouble(0);
        if (!(startEpochMillis >= 0) || Double.isInfinite(startEpochMillis)) {
            throw new EndpointList.InvalidEndpointListException(
                    path
                            + ".started: expected a time in milliseconds since 1970, found "
                            + startEpochMillis);
        }
        ListedEndpoint.State state = parseState(node.path("stage").asText("ready"), path);
        return new ListedEndpoint(
                id,
                address.substring(0, colon),
                port,
                indexOfName(zones, node, "zone", path),
                indexOfName(machineKinds, node, "kind", path),
                weight,
                startEpochMillis,
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
                    path + ".stage: expected ready, draining or gone, found " + quote(word));
        }
    }

    /**
     * Returns the index of the name that a field holds. The field may be missing if there is only
     * one name; the index is 0 then.
     */
    private static int indexOfName(List<String> names, JsonNode node, String field, String path)
            throws EndpointList.InvalidEndpointListException {
        String name = node.path(field).asText("");
        int index = names.indexOf(name);
        if (index < 0 && !(name.isEmpty() && names.size() == 1)) {
            throw new EndpointList.InvalidEndpointListException(
                    path + "." + field + ": " + quote(name) + " is not one of " + names);
        }
        return Math.max(0, index);
    }

    /** Returns the number in a required field. */
    static Number requireNumber(JsonNode node, String field, String path)
            throws EndpointList.InvalidEndpointListException {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw new EndpointList.InvalidEndpointListException(
                    path + "." + field + ": expected a number, found " + value.getNodeType());
        }
        return value.numberValue();
    }

    private static String quote(String value) {
        return "\"" + value.substring(0, Math.min(value.length(), MAX_QUOTED_CHARS)) + "\"";
    }
}
