package sprucelanding.simulation.expectation;

import java.util.List;
import sprucelanding.simulation.expectation.Expectations.Expectation;
import sprucelanding.simulation.scenario.Scenario;

/** An evaluator of the condition of an expectation on the current state of a flow. */
final class ConditionEvaluator {
    private final Scenario scenario;
    private final TrafficFlow flow;
    private final Expectation expectation;
    private final Condition condition;

    ConditionEvaluator(Scenario scenario, TrafficFlow flow, Expectation expectation) {
        this.scenario = scenario;
        this.flow = flow;
        this.expectation = expectation;
        this.condition = Condition.of(expectation);
    }

    /**
     * Evaluates the condition for one request class.
     *
     * @param affected endpoints of the last event that affected endpoints
     */
    CheckResult evaluate(List<FlowEndpoint> affected, int requestClass) {
        return switch (condition) {
            case NO_TRAFFIC -> checkNoTraffic(requestClass);
            case READY_ENTRY -> checkReadyEntry(requestClass);
            case ZONE_SHARE -> zoneShare(requestClass);
            case FOLLOWS_CAPACITY -> checkFollowsCapacity(requestClass);
            case GENTLE_START -> checkGentleStart(affected, requestClass);
            case ADMITTED_SHARE -> checkAdmittedShare(requestClass);
        };
    }

    private CheckResult checkNoTraffic(int requestClass) {
        List<FlowEndpoint> unavailable =
                flow.endpoints().stream().filter(endpoint -> !endpoint.isReady()).toList();
        for (FlowEndpoint endpoint : unavailable) {
            double share = flow.trafficShare(endpoint, requestClass);
            if (share > 0) {
                return CheckResult.failed(
                        "replica %d gets %.1f%%", endpoint.position(), 100 * share);
            }
        }
        return CheckResult.held(!unavailable.isEmpty());
    }

    private CheckResult checkReadyEntry(int requestClass) {
        return flow.minReadyEntries(requestClass) == 0
                ? CheckResult.failed("a proxy has no line to a replica that is ready")
                : CheckResult.HELD;
    }

    private CheckResult zoneShare(int requestClass) {
        for (int zone = 0; zone < scenario.zones().size(); zone++) {
            String name = scenario.zones().get(zone);
            double share = zoneShare(zone, requestClass);
            if ((expectation.zone() == null || expectation.zone().equals(name))
                    && isOutOfBounds(share)) {
                return CheckResult.failed("zone %s gets %.1f%%", name, 100 * share);
            }
        }
        return CheckResult.HELD;
    }

    private double zoneShare(int zone, int requestClass) {
        return flow.endpoints().stream()
                .filter(endpoint -> endpoint.zone() == zone)
                .mapToDouble(endpoint -> flow.trafficShare(endpoint, requestClass))
                .sum();
    }

    private boolean isOutOfBounds(double share) {
        return share < expectation.atLeast() || share > expectation.atMost();
    }

    private List<FlowEndpoint> readyEndpoints(int requestClass) {
        return flow.endpoints().stream()
                .filter(endpoint -> endpoint.isReady() && flow.serves(endpoint, requestClass))
                .toList();
    }

    private CheckResult checkFollowsCapacity(int requestClass) {
        List<FlowEndpoint> ready = readyEndpoints(requestClass);
        double capacity = ready.stream().mapToDouble(FlowEndpoint::capacity).sum();
        for (FlowEndpoint endpoint : ready) {
            double share = flow.trafficShare(endpoint, requestClass);
            double deviation = Math.abs(share / (endpoint.capacity() / capacity) - 1);
            if (deviation > expectation.atMost()) {
                return CheckResult.failed(
                        "replica %d gets %.1f%%, and is %.1f%% of what the fleet can do",
                        endpoint.position(), 100 * share, 100 * endpoint.capacity() / capacity);
            }
        }
        return CheckResult.held(!ready.isEmpty());
    }

    private CheckResult checkGentleStart(List<FlowEndpoint> affected, int requestClass) {
        double mean = 1.0 / Math.max(1, readyEndpoints(requestClass).size());
        for (FlowEndpoint endpoint : affected) {
            double share = flow.trafficShare(endpoint, requestClass);
            if (endpoint.isReady()
                    && flow.serves(endpoint, requestClass)
                    && share > expectation.atMost() * mean) {
                return CheckResult.failed(
                        "replica %d gets %.1f%% already, the mean is %.1f%%",
                        endpoint.position(), 100 * share, 100 * mean);
            }
        }
        return CheckResult.held(!affected.isEmpty());
    }

    private CheckResult checkAdmittedShare(int requestClass) {
        double admitted = flow.admittedShare(requestClass);
        return isOutOfBounds(admitted)
                ? CheckResult.failed("%.0f%% is let in", 100 * admitted)
                : CheckResult.HELD;
    }
}
