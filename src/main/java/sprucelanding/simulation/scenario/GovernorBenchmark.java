package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A benchmark that measures one governor with a fleet of a given size. The load of endpoints
 * changes during the run, so that the governor changes weights.
 */
public final class GovernorBenchmark {
    /** The rate is low because each proxy keeps a connection to each endpoint that it has used. */
    private static final double REQUESTS_PER_SECOND = 150;

    /** Load as a share of the capacity of a fleet whose endpoints have one core each. */
    private static final double LOAD_SHARE = 0.5;

    private static final double READ_STOP_AT_MILLIS = 3000;

    private final int proxies;
    private final int endpoints;
    private final double durationMillis;
    private final int stoppedProxies;
    private final double deviceShare;

    /**
     * Creates a benchmark.
     *
     * @param proxies number of proxies
     * @param endpoints number of endpoints
     * @param durationMillis time from the first request until clients stop
     * @param stoppedProxies number of proxies that read nothing from the third second on
     * @param deviceShare share of the proxies that are configured by NETCONF
     */
    public GovernorBenchmark(
            int proxies,
            int endpoints,
            double durationMillis,
            int stoppedProxies,
            double deviceShare) {
        this.proxies = proxies;
        this.endpoints = endpoints;
        this.durationMillis = durationMillis;
        this.stoppedProxies = stoppedProxies;
        this.deviceShare = deviceShare;
    }

    /**
     * Runs the benchmark and returns the scenario's report, with the figures that the governor
     * logs.
     */
    public String run() throws IOException, InterruptedException {
        return new ScenarioRunner(
                        scenario(),
                        durationMillis,
                        ScenarioRunner.TableSource.governors,
                        null,
                        null,
                        false)
                .run()
                .table();
    }

    private List<Scenario.Fault> faults() {
        List<Scenario.Fault> faults = new ArrayList<>();
        faults.add(fault(8000, durationMillis, FaultKind.ENDPOINT_CONTENTION, 0.3, 0.6));
        if (stoppedProxies > 0) {
            double share = (double) stoppedProxies / proxies;
            faults.add(
                    fault(
                            READ_STOP_AT_MILLIS,
                            durationMillis,
                            FaultKind.PROXY_READ_STOP,
                            share,
                            1));
            faults.add(fault(6000, 5000, FaultKind.ENDPOINT_CRASH, 0.05, 1));
        }
        return faults;
    }

    private static Scenario.Fault fault(
            double at, double durationMillis, FaultKind kind, double part, double size) {
        return new Scenario.Fault(at, durationMillis, kind.word(), part, size, null);
    }

    private Scenario scenario() {
        double workMillis = LOAD_SHARE * endpoints / REQUESTS_PER_SECOND * 1000;
        return new Scenario(
                "measure " + proxies + " x " + endpoints,
                3,
                durationMillis,
                List.of("north", "middle", "south"),
                List.of(
                        new Scenario.EndpointKind("fast", 1, 1.2, 4, 16, 0.5),
                        new Scenario.EndpointKind("slow", 1, 0.7, 4, 16, 0.5)),
                List.of(
                        new Scenario.RequestClassSettings(
                                "read", 0.75, workMillis, 2500, 5000, 1, "safe", List.of()),
                        new Scenario.RequestClassSettings(
                                "sign", 0.25, workMillis, 2500, 5000, 2, "once", List.of())),
                new Scenario.EndpointSettings(endpoints, 0.25, 12_000, 600),
                new Scenario.ProxySettings(proxies, 6, deviceShare, 0, "two", 5, 4000),
                new Scenario.GovernorSettings(
                        1, 30_000, 6, 60_000, 0, 10_000, false, 1500, 64, false),
                null,
                REQUESTS_PER_SECOND,
                new Scenario.ClientSettings(2, 100, 0.8),
                new Scenario.DiscoverySettings(2000, 500),
                new Scenario.RuleSettings(4000, 6000, 3, 2000),
                faults());
    }
}
