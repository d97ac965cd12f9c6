package sprucelanding.simulation.loopback;

import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;

/** Type URLs and resource names of the xDS protocol, as a proxy uses them. */
final class XdsTypes {
    private static final String PREFIX = "type.googleapis.com/";

    static final String CLUSTER = PREFIX + Cluster.getDescriptor().getFullName();
    static final String ASSIGNMENT = PREFIX + ClusterLoadAssignment.getDescriptor().getFullName();
    static final String ENDPOINT = PREFIX + LbEndpoint.getDescriptor().getFullName();
    static final String ROUTE = PREFIX + RouteConfiguration.getDescriptor().getFullName();

    /** The name of the only route configuration. */
    static final String ROUTE_NAME = "txns";

    private static final String COLLECTION_PREFIX =
            "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";

    private XdsTypes() {}

    /** The name of a cluster's collection of endpoints. */
    static String collectionName(String cluster) {
        return COLLECTION_PREFIX + cluster + "/*";
    }

    /** The cluster of an endpoint resource, by its name: the part before the last. */
    static String clusterOf(String endpointName) {
        String collection = endpointName.substring(0, endpointName.lastIndexOf('/'));
        return collection.substring(collection.lastIndexOf('/') + 1);
    }
}
