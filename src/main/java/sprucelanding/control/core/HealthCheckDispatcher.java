package sprucelanding.control.core;

import java.util.ArrayDeque;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * Dispatcher of the health checks that the controller orders. It answers checks that cannot run
 * with {@link HealthCheckResult#NOT_PERFORMED}.
 */
final class HealthCheckDispatcher {
    private final GovernorHost host;
    private final ControllerInput input;
    private final DiscoveryHandler discovery;
    private final boolean isEnabled;

    /**
     * Endpoints whose checks cannot run. The answers are passed to the controller after the current
     * decision.
     */
    private final ArrayDeque<Long> uncheckedEndpoints = new ArrayDeque<>();

    HealthCheckDispatcher(
            GovernorHost host, ControllerInput input, DiscoveryHandler discovery, boolean enabled) {
        this.host = host;
        this.input = input;
        this.discovery = discovery;
        this.isEnabled = enabled;
    }

    /**
     * Starts a health check, or queues the answer if health checks are disabled or the endpoint is
     * not listed.
     */
    void check(long endpointId) {
        ListedEndpoint listedEndpoint = discovery.endpoint(endpointId);
        if (!isEnabled || listedEndpoint == null) {
            uncheckedEndpoints.add(endpointId);
        } else {
            host.startHealthCheck(listedEndpoint);
        }
    }

    /**
     * Answers one check that was not performed.
     *
     * @return false if there is no such check
     */
    boolean reportNotPerformed() {
        Long endpointId = uncheckedEndpoints.poll();
        if (endpointId == null) {
            return false;
        }
        input.healthCheckCompleted(endpointId, HealthCheckResult.NOT_PERFORMED, Double.NaN);
        return true;
    }
}
