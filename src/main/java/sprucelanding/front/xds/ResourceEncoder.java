package sprucelanding.front.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Message;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ApiVersion;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LedsClusterLocalityConfig;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Converter between routing resources and xDS resources, and between their names. A routing table
 * is a cluster named t0, t1 and so on. The entries of a table are LbEndpoints of a collection
 * (LEDS, xdstp names) on incremental streams, and inline endpoints on state-of-the-world streams.
 * All routes of a proxy are one RouteConfiguration.
 */
public final class ResourceEncoder {

    /** The prefix of every resource's type URL. */
    public static final String TYPE_URL_PREFIX = "type.googleapis.com/";

    /** The type URL of clusters. */
    public static final String CDS_TYPE_URL = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster";

    /** The type URL of the endpoints of a cluster. */
    public static final String EDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment";

    /** The type URL of single endpoints. */
    public static final String LEDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.endpoint.v3.LbEndpoint";

    /** The type URL of routes. */
    public static final String RDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration";

    /** The name of the only route configuration, and of its statistics. */
    public static final String ROUTE_CONFIG_NAME = "txns";

    /** The prefix of the resource names of single endpoints and their collections. */
    public static final String ENDPOINT_NAME_PREFIX =
            "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";

    /** The filter that admits requests by rate. */
    public static final String RATE_LIMIT_FILTER = "envoy.filters.http.local_ratelimit";

    private static final String TABLE_PREFIX = "t";
    private static final String COLLECTION_WILDCARD = "*";
    private static final long COLLECTION_ENDPOINT_ID = 0;

    private static final ConfigSource ADS_CONFIG_SOURCE =
            ConfigSource.newBuilder()
                    .setResourceApiVersion(ApiVersion.V3)
                    .setAds(AggregatedConfigSource.getDefaultInstance())
                    .build();

    private ResourceEncoder() {}

    /** Returns the type URL of a resource type. */
    public static String typeUrl(ResourceType type) {
        return switch (type) {
            case CLUSTER -> CDS_TYPE_URL;
            case ENDPOINTS -> EDS_TYPE_URL;
            case LINE -> LEDS_TYPE_URL;
            case ROUTE -> RDS_TYPE_URL;
        };
    }

    /** Returns the resource type of a type URL; null if that type isn't served. */
    public static ResourceType resourceType(String typeUrl) {
        return switch (typeUrl) {
            case CDS_TYPE_URL -> ResourceType.CLUSTER;
            case EDS_TYPE_URL -> ResourceType.ENDPOINTS;
            case LEDS_TYPE_URL -> ResourceType.LINE;
            case RDS_TYPE_URL -> ResourceType.ROUTE;
            default -> null;
        };
    }

    /** Returns the xDS name of a resource. */
    public static String resourceName(ResourceName name) {
        return switch (name.type()) {
            case CLUSTER, ENDPOINTS -> TABLE_PREFIX + name.table();
            case LINE ->
                    ENDPOINT_NAME_PREFIX + TABLE_PREFIX + name.table() + "/" + name.endpointId();
            case ROUTE -> ROUTE_CONFIG_NAME;
        };
    }

    /** Returns the name of the collection of a table's entries. */
    public static String endpointCollectionName(int table) {
        return ENDPOINT_NAME_PREFIX + TABLE_PREFIX + table + "/*";
    }

    /**
     * Parses the xDS name of a resource. A collection has the endpoint id 0.
     *
     * @return the resource's name; null if no such resource can exist
     */
    public static ResourceName resourceName(ResourceType type, String text) {
        if (type == ResourceType.ROUTE) {
            return text.equals(ROUTE_CONFIG_NAME) ? ResourceName.ROUTE : null;
        }
        if (type != ResourceType.LINE) {
            return parseName(type, text, COLLECTION_WILDCARD);
        }
        if (!text.startsWith(ENDPOINT_NAME_PREFIX)) {
            return null;
        }
        String path = text.substring(ENDPOINT_NAME_PREFIX.length());
        int slash = path.indexOf('/');
        return slash < 0
                ? null
                : parseName(type, path.substring(0, slash), path.substring(slash + 1));
    }

    private static ResourceName parseName(ResourceType type, String tableName, String endpointId) {
        if (!tableName.startsWith(TABLE_PREFIX)) {
            return null;
        }
        try {
            int table = Integer.parseInt(tableName.substring(TABLE_PREFIX.length()));
            long id =
                    endpointId.equals(COLLECTION_WILDCARD)
                            ? COLLECTION_ENDPOINT_ID
                            : Long.parseLong(endpointId);
            return table < 0 || id < 0 ? null : new ResourceName(type, table, id);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /**
     * Encodes a resource for one variant of the protocol.
     *
     * @throws IllegalStateException if an entry's endpoint was never listed
     */
    static Any encode(RoutingResource resource, StreamVariant variant, ResourceNaming naming) {
        Message message =
                switch (resource.name().type()) {
                    case CLUSTER ->
                            Cluster.newBuilder()
                                    .setName(resourceName(resource.name()))
                                    .setType(Cluster.DiscoveryType.EDS)
                                    .setEdsClusterConfig(
                                            Cluster.EdsClusterConfig.newBuilder()
                                                    .setEdsConfig(ADS_CONFIG_SOURCE))
                                    .build();
                    case ENDPOINTS -> loadAssignment(resource, variant, naming);
                    case LINE -> lbEndpoint(resource.entries().get(0), naming);
                    case ROUTE -> RouteEncoder.encode(resource, naming);
                    default -> throw new AssertionError(resource.name().type());
                };
        return Any.newBuilder()
                .setTypeUrl(typeUrl(resource.name().type()))
                .setValue(message.toByteString())
                .build();
    }

    private static ClusterLoadAssignment loadAssignment(
            RoutingResource resource, StreamVariant variant, ResourceNaming naming) {
        LocalityLbEndpoints.Builder locality =
                LocalityLbEndpoints.newBuilder().setLoadBalancingWeight(UInt32Value.of(1));
        if (variant == StreamVariant.INCREMENTAL) {
            locality.setLedsClusterLocalityConfig(
                    LedsClusterLocalityConfig.newBuilder()
                            .setLedsConfig(ADS_CONFIG_SOURCE)
                            .setLedsCollectionName(
                                    endpointCollectionName(resource.name().table())));
        }
        resource.entries().forEach(entry -> locality.addLbEndpoints(lbEndpoint(entry, naming)));
        return ClusterLoadAssignment.newBuilder()
                .setClusterName(resourceName(resource.name()))
                .addEndpoints(locality)
                .build();
    }

    private static LbEndpoint lbEndpoint(
            RoutingResource.EndpointEntry entry, ResourceNaming naming) {
        ListedEndpoint endpoint = naming.endpoint(entry.endpointId());
        if (endpoint == null) {
            throw new IllegalStateException("replica " + entry.endpointId() + " was never listed");
        }
        return LbEndpoint.newBuilder()
                .setEndpoint(
                        Endpoint.newBuilder()
                                .setAddress(
                                        Address.newBuilder()
                                                .setSocketAddress(
                                                        SocketAddress.newBuilder()
                                                                .setAddress(endpoint.host())
                                                                .setPortValue(endpoint.port()))))
                .setHealthStatus(entry.isDraining() ? HealthStatus.DRAINING : HealthStatus.HEALTHY)
                .setLoadBalancingWeight(UInt32Value.of(entry.weight()))
                .build();
    }
}
