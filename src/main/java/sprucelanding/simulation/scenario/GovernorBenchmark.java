package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A governor at a size: a day of one governor, with replicas that come and go, or without any
 * trouble.
 */
public final class GovernorBenchmark {
    private static final double REQUESTS_PER_SECOND =
            150; // few: each proxy keeps a connection for each replica it has met
    private final int proxies;
    private final int endpoints;
    private final double durationMillis;
    private final int slowEndpoints;
    private final double deviceShare;

    /**
     * @param slow proxies that read nothing from the third second on
     * @param devices share of the proxies that take NETCONF edits
     */
    public GovernorBenchmark(
            int proxies,
            int endpoints,
            double durationMillis,
            int slowEndpoints,
            double deviceShare) {
        this.deviceShare = deviceShare;
        this.proxies = proxies;
        this.endpoints = endpoints;
        this.durationMillis = durationMillis;
        this.slowEndpoints = slowEndpoints;
    }

    /** The day's table, with the governor's own figures below. */
    public String run() throws IOException, InterruptedException {
        List<Scenario.Fault> faults = new ArrayList<>();
        faults.add(
                new Scenario.Fault(
                        8000, durationMillis, "neighbour", 0.3, 0.6, null)); // so that weights move
        if (slowEndpoints > 0) {
            faults.add(
                    new Scenario.Fault(
                            3000,
                            durationMillis,
                            "readsNothing",
                            (double) slowEndpoints / proxies,
                            1,
                            null));
            faults.add(new Scenario.Fault(6000, 5000, "crash", 0.05, 1, null));
        }
        double work = 0.5 * endpoints / REQUESTS_PER_SECOND * 1000; // half of what the fleet can do
        Scenario scenario =
                new Scenario(
                        "measure " + proxies + " x " + endpoints,
                        3,
                        durationMillis,
                        List.of("north", "middle", "south"),
                        List.of(
                                new Scenario.EndpointKind("fast", 1, 1.2, 4, 16, 0.5),
                                new Scenario.EndpointKind("slow", 1, 0.7, 4, 16, 0.5)),
                        List.of(
                                new Scenario.RequestClassSettings(
                                        "read", 0.75, work, 2500, 5000, 1, "safe", List.of()),
                                new Scenario.RequestClassSettings(
                                        "sign", 0.25, work, 2500, 5000, 2, "once", List.of())),
                        new Scenario.EndpointSettings(endpoints, 0.25, 12_000, 600),
                        new Scenario.ProxySettings(proxies, 6, deviceShare, 0, "two", 5, 4000),
                        new Scenario.GovernorSettings(
                                1, 30_000, 6, 60_000, 0, 10_000, false, 1500, 64, false),
                        null,
                        REQUESTS_PER_SECOND,
                        new Scenario.ClientSettings(2, 100, 0.8),
                        new Scenario.DiscoverySettings(2000, 500),
                        new Scenario.RuleSettings(4000, 6000, 3, 2000),
                        faults);
        return new ScenarioRunner(
                        scenario,
                        durationMillis,
                        ScenarioRunner.TableSource.governors,
                        null,
                        null,
                        false)
                .run()
                .table();
    }
}
