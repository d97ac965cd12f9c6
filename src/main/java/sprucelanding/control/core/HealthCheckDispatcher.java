package sprucelanding.control.core;

import java.util.ArrayDeque;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.discovery.ListedEndpoint;

/** Starts the health checks that the controller orders, or answers for those that cannot run. */
final class HealthCheckDispatcher {
    private final GovernorHost host;
    private final ControllerInput input;
    private final DiscoveryHandler discovery;
    private final boolean enabled;

    /** Their answers are passed on once the decision under way is done. */
    private final ArrayDeque<Long> uncheckedEndpoints = new ArrayDeque<>();

    HealthCheckDispatcher(
            GovernorHost host, ControllerInput input, DiscoveryHandler discovery, boolean enabled) {
        this.host = host;
        this.input = input;
        this.discovery = discovery;
        this.enabled = enabled;
    }

    void check(long endpointId) {
        ListedEndpoint listedEndpoint = discovery.endpoint(endpointId);
        if (!enabled || listedEndpoint == null) {
            uncheckedEndpoints.add(endpointId);
        } else {
            host.startHealthCheck(listedEndpoint);
        }
    }

    /** Answers for one check that was not performed; false if there is none. */
    boolean answerUnchecked() {
        Long endpointId = uncheckedEndpoints.poll();
        if (endpointId == null) {
            return false;
        }
        input.healthCheckCompleted(endpointId, HealthCheckResult.NOT_PERFORMED, Double.NaN);
        return true;
    }
}
