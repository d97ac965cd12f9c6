package sprucelanding.simulation.loopback;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.route.v3.RouteAction;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit;
import io.envoyproxy.envoy.type.v3.TokenBucket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;

/**
 * The decoder of xDS resources into a proxy's tables. The decoder also keeps the names of the
 * subscribed collections of endpoints. All calls must be made on the proxy's event loop.
 */
final class XdsTables {
    private static final String RATE_LIMIT_FILTER = "envoy.filters.http.local_ratelimit";

    /** The denominator of runtime fractions, which are in parts per million. */
    private static final double RUNTIME_FRACTION_DENOMINATOR = 1e6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ProxyTables<InetSocketAddress> tables;
    private final Set<String> collections = new HashSet<>();

    /**
     * The changes of a proxy's subscriptions that result from applied resources.
     *
     * @param newClusters the clusters to whose assignments the proxy has to subscribe
     * @param newCollections the collections of endpoints to which the proxy has to subscribe
     * @param removedClusters the clusters that were removed
     * @param removedCollections the collections that were removed
     */
    record AppliedResources(
            List<String> newClusters,
            List<String> newCollections,
            List<String> removedClusters,
            List<String> removedCollections) {
        AppliedResources() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    XdsTables(ProxyTables<InetSocketAddress> tables) {
        this.tables = tables;
    }

    /** Returns a live view of the names of all clusters. */
    Set<String> clusterNames() {
        return tables.clusters.keySet();
    }

    /** Marks the collections of all current clusters as subscribed, and returns their names. */
    List<String> subscribeHeldCollections() {
        List<String> held = clusterNames().stream().map(XdsTypes::collectionName).toList();
        collections.addAll(held);
        return held;
    }

    /** Returns the versions of the resources of a type that the proxy holds, by name. */
    Map<String, String> versions(String type) {
        Map<String, String> versions = new LinkedHashMap<>();
        if (type.equals(XdsTypes.ENDPOINT)) {
            tables.clusters
                    .values()
                    .forEach(
                            entries ->
                                    entries.forEach(
                                            (name, entry) -> versions.put(name, entry.version)));
        } else {
            tables.versions.forEach(
                    (name, version) -> {
                        if (name.startsWith(type + " ")) {
                            versions.put(name.substring(type.length() + 1), version);
                        }
                    });
        }
        return versions;
    }

    /** Returns the version of the last accepted response of a type, or an empty string. */
    String acceptedVersion(String type) {
        return tables.versions.getOrDefault("accepted " + type, "");
    }

    void setAcceptedVersion(String type, String version) {
        tables.versions.put("accepted " + type, version);
    }

    /** Applies a resource of any type. Resources of unknown types are ignored. */
    void apply(String type, String name, String version, Any resource, AppliedResources applied)
            throws InvalidProtocolBufferException {
        if (type.equals(XdsTypes.CLUSTER)) {
            tables.versions.put(type + " " + name, version);
            entriesOf(name);
            applied.newClusters.add(name);
        } else if (type.equals(XdsTypes.ASSIGNMENT)) {
            tables.versions.put(type + " " + name, version);
            applyAssignment(name, resource.unpack(ClusterLoadAssignment.class), applied);
        } else if (type.equals(XdsTypes.ENDPOINT)) {
            entriesOf(XdsTypes.clusterOf(name))
                    .put(name, toEntry(version, resource.unpack(LbEndpoint.class)));
        } else if (type.equals(XdsTypes.ROUTE)) {
            tables.versions.put(type + " " + name, version);
            tables.routes = toRoutes(resource.unpack(RouteConfiguration.class));
        }
    }

    private Map<String, WeightedEndpoint<InetSocketAddress>> entriesOf(String cluster) {
        return tables.clusters.computeIfAbsent(cluster, ignored -> new LinkedHashMap<>());
    }

    private void applyAssignment(
            String cluster, ClusterLoadAssignment assignment, AppliedResources applied) {
        for (LocalityLbEndpoints locality : assignment.getEndpointsList()) {
            if (locality.hasLedsClusterLocalityConfig()) {
                String collection = locality.getLedsClusterLocalityConfig().getLedsCollectionName();
                if (collections.add(collection)) {
                    applied.newCollections.add(collection);
                }
            } else {
                Map<String, WeightedEndpoint<InetSocketAddress>> entries = new LinkedHashMap<>();
                for (LbEndpoint lbEndpoint : locality.getLbEndpointsList()) {
                    WeightedEndpoint<InetSocketAddress> entry = toEntry("", lbEndpoint);
                    entries.put(entry.endpoint.toString(), entry);
                }
                tables.clusters.put(cluster, entries);
            }
        }
    }

    /** Removes a resource. */
    void remove(String type, String name, AppliedResources applied) {
        tables.versions.remove(type + " " + name);
        if (type.equals(XdsTypes.CLUSTER)) {
            removeCluster(name, applied);
        } else if (type.equals(XdsTypes.ENDPOINT)) {
            tables.clusters.values().forEach(entries -> entries.remove(name));
        }
    }

    private void removeCluster(String cluster, AppliedResources applied) {
        tables.clusters.remove(cluster);
        tables.versions.remove(XdsTypes.ASSIGNMENT + " " + cluster);
        applied.removedClusters.add(cluster);
        String collection = XdsTypes.collectionName(cluster);
        if (collections.remove(collection)) {
            applied.removedCollections.add(collection);
        }
    }

    /** Removes all clusters other than these. */
    void retainClusters(Set<String> names) {
        tables.clusters.keySet().retainAll(names);
    }

    private static WeightedEndpoint<InetSocketAddress> toEntry(
            String version, LbEndpoint lbEndpoint) {
        SocketAddress address = lbEndpoint.getEndpoint().getAddress().getSocketAddress();
        return new WeightedEndpoint<>(
                version,
                new InetSocketAddress(address.getAddress(), address.getPortValue()),
                lbEndpoint.getLoadBalancingWeight().getValue(),
                lbEndpoint.getHealthStatus() == HealthStatus.HEALTHY);
    }

    private static Map<String, Route> toRoutes(RouteConfiguration config)
            throws InvalidProtocolBufferException {
        Map<String, Route> routes = new LinkedHashMap<>();
        for (io.envoyproxy.envoy.config.route.v3.Route route :
                config.getVirtualHosts(0).getRoutesList()) {
            // a route without a destination rejects the requests that are not admitted
            if (route.hasRoute()) {
                routes.put(
                        route.getMatch().getPrefix().substring(1),
                        new Route(
                                route.getRoute().getCluster(),
                                admittedShare(route),
                                requestsPerSecond(route),
                                retryMode(route.getRoute())));
            }
        }
        return routes;
    }

    private static double admittedShare(io.envoyproxy.envoy.config.route.v3.Route route) {
        return route.getMatch().hasRuntimeFraction()
                ? route.getMatch().getRuntimeFraction().getDefaultValue().getNumerator()
                        / RUNTIME_FRACTION_DENOMINATOR
                : 1;
    }

    private static double requestsPerSecond(io.envoyproxy.envoy.config.route.v3.Route route)
            throws InvalidProtocolBufferException {
        Any limit = route.getTypedPerFilterConfigOrDefault(RATE_LIMIT_FILTER, null);
        if (limit == null) {
            return Double.POSITIVE_INFINITY;
        }
        TokenBucket bucket = limit.unpack(LocalRateLimit.class).getTokenBucket();
        return bucket.getTokensPerFill().getValue()
                / (bucket.getFillInterval().getSeconds()
                        + bucket.getFillInterval().getNanos() / NANOS_PER_SECOND);
    }

    private static Route.RetryMode retryMode(RouteAction action) {
        if (!action.hasRetryPolicy()) {
            return Route.RetryMode.NEVER;
        }
        return action.getRetryPolicy().getRetryOn().contains("5xx")
                ? Route.RetryMode.ANY
                : Route.RetryMode.UNRUN;
    }
}
