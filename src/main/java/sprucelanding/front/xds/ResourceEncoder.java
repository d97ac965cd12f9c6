package sprucelanding.front.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.Message;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ApiVersion;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.RuntimeFractionalPercent;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LedsClusterLocalityConfig;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.route.v3.DirectResponseAction;
import io.envoyproxy.envoy.config.route.v3.RetryPolicy;
import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteAction;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.config.route.v3.RouteMatch;
import io.envoyproxy.envoy.config.route.v3.VirtualHost;
import io.envoyproxy.envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit;
import io.envoyproxy.envoy.type.v3.FractionalPercent;
import io.envoyproxy.envoy.type.v3.TokenBucket;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Puts items into resources, and names into resource names. A table is a cluster t0, t1 ...; its
 * lines are LbEndpoints of a collection (LEDS, xdstp names) on delta streams and inline endpoints
 * on others; a binding with its levels and retries is the one RouteConfiguration.
 */
public final class ResourceEncoder {
    public static final String TYPE_URL_PREFIX = "type.googleapis.com/";
    public static final String CDS_TYPE_URL = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster";
    public static final String EDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment";
    public static final String LEDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.endpoint.v3.LbEndpoint";
    public static final String RDS_TYPE_URL =
            TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration";
    public static final String ROUTE_CONFIG_NAME = "txns";
    public static final String ENDPOINT_NAME_PREFIX =
            "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";
    public static final String RATE_LIMIT_FILTER = "envoy.filters.http.local_ratelimit";
    private static final int MILLION = 1_000_000;
    private static final int SHED_STATUS = 503;
    private static final ConfigSource ADS_CONFIG_SOURCE =
            ConfigSource.newBuilder()
                    .setResourceApiVersion(ApiVersion.V3)
                    .setAds(AggregatedConfigSource.getDefaultInstance())
                    .build();

    private ResourceEncoder() {}

    public static String typeUrl(ResourceType type) {
        return switch (type) {
            case CLUSTER -> CDS_TYPE_URL;
            case ENDPOINTS -> EDS_TYPE_URL;
            case LINE -> LEDS_TYPE_URL;
            case ROUTE -> RDS_TYPE_URL;
        };
    }

    /** Null for a type that is not served. */
    public static ResourceType resourceType(String typeUrl) {
        return switch (typeUrl) {
            case CDS_TYPE_URL -> ResourceType.CLUSTER;
            case EDS_TYPE_URL -> ResourceType.ENDPOINTS;
            case LEDS_TYPE_URL -> ResourceType.LINE;
            case RDS_TYPE_URL -> ResourceType.ROUTE;
            default -> null;
        };
    }

    public static String resourceName(ResourceName name) {
        return switch (name.type()) {
            case CLUSTER, ENDPOINTS -> "t" + name.table();
            case LINE -> ENDPOINT_NAME_PREFIX + "t" + name.table() + "/" + name.endpointId();
            case ROUTE -> ROUTE_CONFIG_NAME;
        };
    }

    /** The collection of a table's lines. */
    public static String endpointCollection(int table) {
        return ENDPOINT_NAME_PREFIX + "t" + table + "/*";
    }

    /**
     * The name that a resource name stands for, a collection by replica 0; null if it is none of
     * ours.
     */
    public static ResourceName resourceName(ResourceType type, String text) {
        if (type == ResourceType.ROUTE) {
            return text.equals(ROUTE_CONFIG_NAME) ? ResourceName.ROUTE : null;
        }
        String tableName = text;
        String endpointId = "0";
        if (type == ResourceType.LINE) {
            if (!text.startsWith(ENDPOINT_NAME_PREFIX)) {
                return null;
            }
            tableName = text.substring(ENDPOINT_NAME_PREFIX.length());
            int slash = tableName.indexOf('/');
            if (slash < 0) {
                return null;
            }
            endpointId = tableName.substring(slash + 1);
            tableName = tableName.substring(0, slash);
        }
        try {
            int table = tableName.startsWith("t") ? Integer.parseInt(tableName.substring(1)) : -1;
            long id = endpointId.equals("*") ? 0 : Long.parseLong(endpointId);
            return table < 0 || id < 0 ? null : new ResourceName(type, table, id);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** The resource; throws IllegalStateException for a line of a replica that was never listed. */
    static Any encode(RoutingResource resource, boolean incremental, ResourceNaming naming) {
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
                    case ENDPOINTS -> loadAssignment(resource, incremental, naming);
                    case LINE -> lbEndpoint(resource.entries().get(0), naming);
                    case ROUTE -> routeConfiguration(resource, naming);
                };
        return Any.newBuilder()
                .setTypeUrl(typeUrl(resource.name().type()))
                .setValue(message.toByteString())
                .build();
    }

    private static ClusterLoadAssignment loadAssignment(
            RoutingResource resource, boolean incremental, ResourceNaming naming) {
        LocalityLbEndpoints.Builder locality =
                LocalityLbEndpoints.newBuilder().setLoadBalancingWeight(UInt32Value.of(1));
        if (incremental) {
            locality.setLedsClusterLocalityConfig(
                    LedsClusterLocalityConfig.newBuilder()
                            .setLedsConfig(ADS_CONFIG_SOURCE)
                            .setLedsCollectionName(endpointCollection(resource.name().table())));
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
                .setHealthStatus(entry.draining() ? HealthStatus.DRAINING : HealthStatus.HEALTHY)
                .setLoadBalancingWeight(UInt32Value.of(entry.weight()))
                .build();
    }

    private static RouteConfiguration routeConfiguration(
            RoutingResource resource, ResourceNaming naming) {
        VirtualHost.Builder virtualHost =
                VirtualHost.newBuilder().setName(ROUTE_CONFIG_NAME).addDomains("*");
        for (RoutingResource.RouteRule rule : resource.rules()) {
            RouteMatch match =
                    RouteMatch.newBuilder()
                            .setPrefix("/" + naming.requestClassNames().get(rule.requestClass()))
                            .build();
            RouteAction.Builder action = RouteAction.newBuilder().setCluster("t" + rule.table());
            if (rule.retryMode() != ControllerOutput.RETRY_NEVER) {
                action.setRetryPolicy(
                        RetryPolicy.newBuilder()
                                .setNumRetries(UInt32Value.of(1))
                                .setRetryOn(
                                        rule.retryMode() == ControllerOutput.RETRY_IF_NOT_EXECUTED
                                                ? "connect-failure,refused-stream"
                                                : "5xx,reset,connect-failure"));
            }
            Route.Builder route = Route.newBuilder().setRoute(action);
            if (naming.admitsByRate() && rule.admittedLevel() < MILLION) {
                route.setMatch(match)
                        .putTypedPerFilterConfig(
                                RATE_LIMIT_FILTER, Any.pack(localRateLimit(rule.admittedLevel())));
                virtualHost.addRoutes(route);
            } else if (!naming.admitsByRate() && rule.admittedLevel() < 1) {
                RouteMatch admittedMatch =
                        match.toBuilder()
                                .setRuntimeFraction(
                                        RuntimeFractionalPercent.newBuilder()
                                                .setDefaultValue(
                                                        FractionalPercent.newBuilder()
                                                                .setNumerator(
                                                                        (int)
                                                                                (rule
                                                                                                .admittedLevel()
                                                                                        * MILLION))
                                                                .setDenominator(
                                                                        FractionalPercent
                                                                                .DenominatorType
                                                                                .MILLION)))
                                .build();
                virtualHost.addRoutes(route.setMatch(admittedMatch));
                virtualHost.addRoutes(
                        Route.newBuilder()
                                .setMatch(match)
                                .setDirectResponse(
                                        DirectResponseAction.newBuilder().setStatus(SHED_STATUS)));
            } else {
                virtualHost.addRoutes(route.setMatch(match));
            }
        }
        return RouteConfiguration.newBuilder()
                .setName(ROUTE_CONFIG_NAME)
                .addVirtualHosts(virtualHost)
                .build();
    }

    private static LocalRateLimit localRateLimit(double perSecond) {
        int tokens = (int) Math.max(1, Math.rint(perSecond));
        long fillNanos = (long) (tokens / Math.max(perSecond, 1e-3) * 1e9);
        return LocalRateLimit.newBuilder()
                .setStatPrefix(ROUTE_CONFIG_NAME)
                .setTokenBucket(
                        TokenBucket.newBuilder()
                                .setMaxTokens(tokens)
                                .setTokensPerFill(UInt32Value.of(tokens))
                                .setFillInterval(
                                        Duration.newBuilder()
                                                .setSeconds(fillNanos / 1_000_000_000)
                                                .setNanos((int) (fillNanos % 1_000_000_000))))
                .build();
    }
}
