package sprucelanding.simulation.loopback;

import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;

/** The type URLs and resource names of the xDS protocol that a proxy uses. */
final class XdsTypes {
    private static final String TYPE_URL_PREFIX = "type.googleapis.com/";

    static final String CLUSTER = TYPE_URL_PREFIX + Cluster.getDescriptor().getFullName();
    static final String ASSIGNMENT =
            TYPE_URL_PREFIX + ClusterLoadAssignment.getDescriptor().getFullName();
    static final String ENDPOINT = TYPE_URL_PREFIX + LbEndpoint.getDescriptor().getFullName();
    static final String ROUTE = TYPE_URL_PREFIX + RouteConfiguration.getDescriptor().getFullName();

    /** The name of the only route configuration. */
    static final String ROUTE_NAME = "txns";

    private static final String COLLECTION_PREFIX =
            "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";

    private XdsTypes() {}

    /** Returns the name of a cluster's collection of endpoints. */
    static String collectionName(String cluster) {
        return COLLECTION_PREFIX + cluster + "/*";
    }

    /** Returns the cluster of an endpoint resource, which is the second last part of its name. */
    static String clusterOf(String endpointName) {
        String collection = endpointName.substring(0, endpointName.lastIndexOf('/'));
        return collection.substring(collection.lastIndexOf('/') + 1);
    }
}
