package sprucelanding.simulation.expectation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.RoutingResource;

/**
 * A proxy of a flow. The proxy holds the resources that the governor sent, and computes how they
 * split its traffic.
 */
final class FlowProxy {
    private final int number;
    private final int zone;
    private ProxyStream stream;

    /** Weights by endpoint, for each table. */
    private final Map<Integer, Map<Long, Integer>> tables = new TreeMap<>();

    private final Map<Integer, RoutingResource.RouteRule> rulesByRequestClass = new TreeMap<>();
    private final Map<ResourceName, String> heldVersions = new LinkedHashMap<>();

    FlowProxy(int number, int zone) {
        this.number = number;
        this.zone = zone;
    }

    int number() {
        return number;
    }

    int zone() {
        return zone;
    }

    /** Returns the stream to the current governor process. */
    ProxyStream stream() {
        return stream;
    }

    /** Opens a stream to a governor that has just started. */
    ProxyStream openStream() {
        stream = new ProxyStream(number, ProxyStream.UpdateMode.INCREMENTAL, this);
        return stream;
    }

    /** Returns the versions of the resources that the proxy holds. */
    Map<ResourceName, String> heldVersions() {
        return Map.copyOf(heldVersions);
    }

    Set<Integer> tableNumbers() {
        return tables.keySet();
    }

    /** Adds a resource, which replaces an older version. */
    void addResource(RoutingResource resource) {
        heldVersions.put(resource.name(), resource.version());
        int tableNumber = resource.name().table();
        switch (resource.name().type()) {
            case CLUSTER -> tables.computeIfAbsent(tableNumber, key -> new TreeMap<>());
            case LINE -> updateEntry(tableNumber, resource.entries().get(0));
            case ROUTE -> {
                rulesByRequestClass.clear();
                resource.rules()
                        .forEach(rule -> rulesByRequestClass.put(rule.requestClass(), rule));
            }
            default -> {
                // Other resource types do not affect routing.
            }
        }
    }

    private void updateEntry(int tableNumber, RoutingResource.EndpointEntry entry) {
        Map<Long, Integer> table = tables.computeIfAbsent(tableNumber, key -> new TreeMap<>());
        if (entry.isDraining()) {
            table.remove(entry.endpointId());
        } else {
            table.put(entry.endpointId(), entry.weight());
        }
    }

    /** Removes a resource. */
    void removeResource(ResourceName name) {
        heldVersions.remove(name);
        if (name.type() == ResourceType.LINE) {
            tables.getOrDefault(name.table(), new TreeMap<>()).remove(name.endpointId());
        } else if (name.type() == ResourceType.CLUSTER) {
            tables.remove(name.table());
        }
    }

    /**
     * Returns the traffic shares of a request class by endpoint. The shares add up to 1. The map is
     * empty if the request class has no rule or no table entry.
     */
    Map<Long, Double> trafficShares(int requestClass) {
        RoutingResource.RouteRule rule = rulesByRequestClass.get(requestClass);
        Map<Long, Integer> weights =
                rule == null ? Map.of() : tables.getOrDefault(rule.table(), Map.of());
        double sum = weights.values().stream().mapToInt(weight -> weight).sum();
        Map<Long, Double> shares = new HashMap<>();
        weights.forEach((id, weight) -> shares.put(id, weight / sum));
        return shares;
    }

    /** Returns the admitted share of a request class; 1 if the proxy has no rule for the class. */
    double admittedShare(int requestClass) {
        RoutingResource.RouteRule rule = rulesByRequestClass.get(requestClass);
        return rule == null ? 1 : Math.min(1, rule.admissionLevel());
    }
}
