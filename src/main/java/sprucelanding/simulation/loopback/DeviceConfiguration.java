package sprucelanding.simulation.loopback;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;

/**
 * The content of one datastore of a device, as the YANG module sprucelanding-proxy defines it:
 * table entries by table and endpoint, and routes by request class. On the wire an entry is a
 * "line", an endpoint is a "replica", and a request class is a "product".
 */
final class DeviceConfiguration {
    /**
     * A list entry of the configuration.
     *
     * @param leaves the text of each leaf by the name of the leaf, in their order on the wire
     */
    record ListEntry(Map<String, String> leaves) {
        static ListEntry parse(XmlElement element) {
            Map<String, String> leaves = new LinkedHashMap<>();
            element.children.forEach(child -> leaves.put(child.name, child.text()));
            return new ListEntry(leaves);
        }

        String leaf(String name) {
            return leaves.get(name);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(leaf("host"), Integer.parseInt(leaf("port")));
        }

        boolean isDraining() {
            return leaf("draining").equals("true");
        }
    }

    private final TreeMap<Integer, TreeMap<Long, ListEntry>> entriesByTable = new TreeMap<>();
    private final TreeMap<String, ListEntry> routesByClass = new TreeMap<>();

    DeviceConfiguration copy() {
        DeviceConfiguration copy = new DeviceConfiguration();
        entriesByTable.forEach(
                (table, entries) -> copy.entriesByTable.put(table, new TreeMap<>(entries)));
        copy.routesByClass.putAll(routesByClass);
        return copy;
    }

    /** Adds a table without entries, unless a table of this number exists. */
    void addTable(int table) {
        entriesByTable.computeIfAbsent(table, ignored -> new TreeMap<>());
    }

    void removeTable(int table) {
        entriesByTable.remove(table);
    }

    /** Adds or replaces an entry of a table. Adds the table if it does not exist. */
    void putEntry(int table, long endpointId, ListEntry entry) {
        addTable(table);
        entriesByTable.get(table).put(endpointId, entry);
    }

    void removeEntry(int table, long endpointId) {
        entriesByTable.get(table).remove(endpointId);
    }

    void putRoute(String requestClass, ListEntry route) {
        routesByClass.put(requestClass, route);
    }

    boolean hasRoutes() {
        return !routesByClass.isEmpty();
    }

    /** Returns an entry of a table, or null if there is none. */
    ListEntry entry(int table, long endpointId) {
        return entriesByTable.getOrDefault(table, new TreeMap<>()).get(endpointId);
    }

    /** Returns the ids of all endpoints, by address. */
    Map<InetSocketAddress, Long> endpointIds() {
        Map<InetSocketAddress, Long> endpointIds = new HashMap<>();
        entriesByTable
                .values()
                .forEach(
                        entries ->
                                entries.forEach(
                                        (endpointId, entry) ->
                                                endpointIds.put(entry.address(), endpointId)));
        return endpointIds;
    }

    /** Replaces the clusters and routes of a proxy's tables by this configuration. */
    void applyTo(ProxyTables<InetSocketAddress> tables) {
        tables.clusters.clear();
        entriesByTable.forEach(
                (table, entries) -> {
                    Map<String, WeightedEndpoint<InetSocketAddress>> cluster =
                            new LinkedHashMap<>();
                    entries.forEach(
                            (endpointId, entry) ->
                                    cluster.put(
                                            Long.toString(endpointId), toWeightedEndpoint(entry)));
                    tables.clusters.put("t" + table, cluster);
                });
        Map<String, Route> routes = new LinkedHashMap<>();
        routesByClass.forEach((requestClass, route) -> routes.put(requestClass, toRoute(route)));
        tables.routes = routes;
    }

    private static WeightedEndpoint<InetSocketAddress> toWeightedEndpoint(ListEntry entry) {
        return new WeightedEndpoint<>(
                "", entry.address(), Double.parseDouble(entry.leaf("weight")), !entry.isDraining());
    }

    private static Route toRoute(ListEntry route) {
        return new Route(
                "t" + route.leaf("table"),
                Math.min(1, Double.parseDouble(route.leaf("let-in"))),
                Double.POSITIVE_INFINITY,
                Route.RetryMode.valueOf(route.leaf("retry").toUpperCase(Locale.ROOT)));
    }

    /** Returns the configuration as the content of a get-config reply. */
    String toXml(String zone, double expectedRate) {
        StringBuilder text =
                new StringBuilder("<routing xmlns=\"urn:sprucelanding:proxy\"><zone>")
                        .append(zone)
                        .append("</zone><txns-per-second>")
                        .append(expectedRate)
                        .append("</txns-per-second>");
        entriesByTable.forEach(
                (table, entries) -> {
                    text.append("<table><number>").append(table).append("</number>");
                    entries.forEach(
                            (endpointId, entry) -> {
                                text.append("<line>");
                                if (endpointId > 0 && !entry.leaves.containsKey("replica")) {
                                    text.append("<replica>")
                                            .append(endpointId)
                                            .append("</replica>");
                                }
                                appendLeaves(text, entry);
                                text.append("</line>");
                            });
                    text.append("</table>");
                });
        routesByClass
                .values()
                .forEach(
                        route -> {
                            text.append("<product>");
                            appendLeaves(text, route);
                            text.append("</product>");
                        });
        return text.append("</routing>").toString();
    }

    private static void appendLeaves(StringBuilder text, ListEntry entry) {
        entry.leaves.forEach(
                (leaf, value) ->
                        text.append('<')
                                .append(leaf)
                                .append('>')
                                .append(XmlElement.escape(value))
                                .append("</")
                                .append(leaf)
                                .append('>'));
    }
}
