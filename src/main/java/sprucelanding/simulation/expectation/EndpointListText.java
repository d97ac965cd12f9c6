package sprucelanding.simulation.expectation;

import java.util.List;
import sprucelanding.simulation.scenario.Scenario;

/** A writer of the full endpoint list in the JSON format of the discovery service. */
final class EndpointListText {
    private static final int FIRST_PORT = 10_000;

    private EndpointListText() {}

    /** Returns the full list, which contains the endpoints that are up. */
    static String of(Scenario scenario, List<FlowEndpoint> endpoints, long version) {
        List<String> entries =
                endpoints.stream()
                        .filter(FlowEndpoint::isUp)
                        .map(endpoint -> entry(scenario, endpoint))
                        .toList();
        return "{\"version\":"
                + version
                + ",\"whole\":true,\"servers\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String entry(Scenario scenario, FlowEndpoint endpoint) {
        return "{\"id\":"
                + endpoint.id()
                + ",\"at\":\"127.0.0.1:"
                + (FIRST_PORT + endpoint.position())
                + "\",\"zone\":\""
                + scenario.zones().get(endpoint.zone())
                + "\",\"kind\":\""
                + scenario.kinds().get(endpoint.kind()).name()
                + "\",\"weight\":1,\"started\":"
                + (long) endpoint.startedAt()
                + ",\"stage\":\""
                + (endpoint.isDraining() ? "draining" : "ready")
                + "\"}";
    }
}
