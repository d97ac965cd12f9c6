package sprucelanding.front.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.core.v3.RuntimeFractionalPercent;
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
import java.util.List;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Encoder of a proxy's routes as one RouteConfiguration. The admission level of a request class is
 * encoded as a local rate limit if proxies admit by rate. Otherwise the level is encoded as a
 * runtime fraction, followed by a route that rejects all other requests.
 */
final class RouteEncoder {
    private static final int MILLION = 1_000_000;
    private static final int SHED_HTTP_STATUS = 503;
    private static final String RETRY_ON_NOT_EXECUTED = "connect-failure,refused-stream";
    private static final String RETRY_ON_ANY_FAILURE = "5xx,reset,connect-failure";

    /** Rates of at least this value are not limited. */
    private static final double UNLIMITED_REQUESTS_PER_SECOND = MILLION;

    /** Shares of at least this value are not limited. */
    private static final double FULL_SHARE = 1;

    /** The lowest rate that is encoded, so that the fill interval of a rate of 0 is finite. */
    private static final double MIN_RATE_PER_SECOND = 1e-3;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private RouteEncoder() {}

    static RouteConfiguration encode(RoutingResource resource, ResourceNaming naming) {
        VirtualHost.Builder virtualHost =
                VirtualHost.newBuilder().setName(ResourceEncoder.ROUTE_CONFIG_NAME).addDomains("*");
        for (RoutingResource.RouteRule rule : resource.rules()) {
            virtualHost.addAllRoutes(routes(rule, naming));
        }
        return RouteConfiguration.newBuilder()
                .setName(ResourceEncoder.ROUTE_CONFIG_NAME)
                .addVirtualHosts(virtualHost)
                .build();
    }

    private static List<Route> routes(RoutingResource.RouteRule rule, ResourceNaming naming) {
        String className = naming.requestClassNames().get(rule.requestClass());
        RouteMatch match = RouteMatch.newBuilder().setPrefix("/" + className).build();
        Route.Builder route = Route.newBuilder().setRoute(action(rule));
        if (naming.admitsByRate() && rule.admissionLevel() < UNLIMITED_REQUESTS_PER_SECOND) {
            Any rateLimit = Any.pack(localRateLimit(rule.admissionLevel()));
            route.setMatch(match)
                    .putTypedPerFilterConfig(ResourceEncoder.RATE_LIMIT_FILTER, rateLimit);
            return List.of(route.build());
        }
        if (!naming.admitsByRate() && rule.admissionLevel() < FULL_SHARE) {
            route.setMatch(admittedMatch(match, rule.admissionLevel()));
            return List.of(route.build(), rejectingRoute(match));
        }
        return List.of(route.setMatch(match).build());
    }

    private static RouteAction action(RoutingResource.RouteRule rule) {
        RouteAction.Builder action = RouteAction.newBuilder().setCluster("t" + rule.table());
        if (rule.retryMode() != ControllerOutput.RETRY_NEVER) {
            boolean onlyIfNotExecuted = rule.retryMode() == ControllerOutput.RETRY_IF_NOT_EXECUTED;
            action.setRetryPolicy(
                    RetryPolicy.newBuilder()
                            .setNumRetries(UInt32Value.of(1))
                            .setRetryOn(
                                    onlyIfNotExecuted
                                            ? RETRY_ON_NOT_EXECUTED
                                            : RETRY_ON_ANY_FAILURE));
        }
        return action.build();
    }

    private static RouteMatch admittedMatch(RouteMatch match, double admittedShare) {
        FractionalPercent.Builder fraction =
                FractionalPercent.newBuilder()
                        .setNumerator((int) (admittedShare * MILLION))
                        .setDenominator(FractionalPercent.DenominatorType.MILLION);
        return match.toBuilder()
                .setRuntimeFraction(RuntimeFractionalPercent.newBuilder().setDefaultValue(fraction))
                .build();
    }

    private static Route rejectingRoute(RouteMatch match) {
        return Route.newBuilder()
                .setMatch(match)
                .setDirectResponse(DirectResponseAction.newBuilder().setStatus(SHED_HTTP_STATUS))
                .build();
    }

    /**
     * Returns a rate limit whose token bucket holds the requests of about one second. The fill
     * interval is longer for rates below one per second, because a bucket holds at least one token.
     */
    private static LocalRateLimit localRateLimit(double perSecond) {
        int tokens = (int) Math.max(1, Math.rint(perSecond));
        long fillNanos = (long) (tokens / Math.max(perSecond, MIN_RATE_PER_SECOND) * 1e9);
        Duration.Builder fillInterval =
                Duration.newBuilder()
                        .setSeconds(fillNanos / NANOS_PER_SECOND)
                        .setNanos((int) (fillNanos % NANOS_PER_SECOND));
        return LocalRateLimit.newBuilder()
                .setStatPrefix(ResourceEncoder.ROUTE_CONFIG_NAME)
                .setTokenBucket(
                        TokenBucket.newBuilder()
                                .setMaxTokens(tokens)
                                .setTokensPerFill(UInt32Value.of(tokens))
                                .setFillInterval(fillInterval))
                .build();
    }
}
