package sprucelanding.simulation.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.rules.Verdict;
import sprucelanding.simulation.scenario.Scenario;

/** Checks that endpoints which return cold are not overloaded, whatever table they are in. */
class WarmUpPropertyTest {
    private static final String RULE = "no cold replica pushed over";
    private static final int CORES = 4;
    private static final double WORK_MS = 60;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Service without a loss, 0 to 1, from which on the endpoints of all zones suffice. */
    private static final double SUFFICIENT_SERVICE = 0.95;

    private static final String NO_FAULTS = "";

    /** Which endpoints are lost and return cold. */
    enum Loss {
        ZONE("{at: 8s, what: \"zoneLoss\", zone: \"zone-0\", lasts: 6s}"),
        FLEET("{at: 8s, what: \"crash\", part: 100%, lasts: 6s}"),
        MOST("{at: 8s, what: \"crash\", part: 80%, lasts: 6s}");

        private final String fault;

        Loss(String fault) {
            this.fault = fault;
        }
    }

    /**
     * The figures of a site.
     *
     * @param classesInZone number of request classes, of two, that stay in the zone of the proxy
     * @param utilization load before the loss, 0 to 1
     * @param fallMultiple multiple of its present capacity at which an endpoint falls over
     */
    private record Site(
            int zones,
            int endpointsPerZone,
            int governors,
            int classesInZone,
            double utilization,
            double coldShare,
            double fallMultiple,
            boolean hasHealthChecks,
            boolean admitsByRate) {
        Scenario scenario(String faults, int seed) throws InvalidRecordsException {
            int endpoints = zones * endpointsPerZone;
            String text =
                    String.format(
                            Locale.ROOT,
                            """
                            name: "return"
                            seed: %d
                            lasts: 30s
                            zones: [%s]
                            kinds: [{name: "usual", cores: %d, speed: 1, slots: 12, room: 24, part: 100%%}]
                            products: [
                                {name: "read", part: 60%%, work: %.0fms, sla: 500ms, expiry: 2s, revenue: 1, retry: "safe"},
                                {name: "sign", part: 40%%, work: %.0fms, sla: 500ms, expiry: 2s, revenue: 2, retry: "once"}]
                            replicas: {count: %d, coldFrom: %.1f%%, warmAfter: 12s, connections: 400}
                            proxies: {count: %d}
                            governors: {count: %d, messages: 40}
                            txns: %.0f/s
                            clients: {}
                            roster: {notices: 2s, adds: 1s}
                            rules: {grace: 4s, bare: 6s, tip: %.2f, fall: 2s}
                            troubles: [%s]
                            """,
                            seed,
                            zoneNames(),
                            CORES,
                            WORK_MS,
                            WORK_MS,
                            endpoints,
                            100 * coldShare,
                            4 * zones,
                            governors,
                            utilization * endpoints * CORES * MILLIS_PER_SECOND / WORK_MS,
                            fallMultiple,
                            faults);
            return Records.parse("day", text, Scenario.SCHEMA, Scenario.DEFINITION, Scenario.class);
        }

        private String zoneNames() {
            return IntStream.range(0, zones)
                    .mapToObj(zone -> "\"zone-" + zone + "\"")
                    .collect(Collectors.joining(", "));
        }

        String governorSettings() {
            return """
                   products: [
                       {name: "read", retry: "safe", sla: 500ms, revenue: 1, homeOnly: %b},
                       {name: "sign", retry: "once", sla: 500ms, revenue: 2, homeOnly: %b}]
                   probes: {allowed: %b}
                   admits: "%s"
                   """
                    .formatted(
                            classesInZone > 0,
                            classesInZone > 1,
                            hasHealthChecks,
                            admitsByRate ? "rate" : "share");
        }
    }

    /** Guards against the first cold endpoint of a zone that gets the load of the whole zone. */
    @Test
    void endpointsOfReturningZoneShareWhatTheyCanServe() throws InvalidRecordsException {
        Site site = new Site(3, 5, 1, 2, 0.64, 0.31, 3, true, false);
        assertEquals(0, verdict(play(site, Loss.ZONE.fault, 1)).broken());
    }

    /** Guards against a few cold endpoints that get the load of their whole table. */
    @Property(tries = 60)
    void endpointsThatReturnColdAreNotOverloaded(
            @ForAll Loss loss,
            @ForAll @IntRange(min = 1, max = 4) int zones,
            @ForAll @IntRange(min = 2, max = 7) int endpointsPerZone,
            @ForAll @IntRange(min = 1, max = 3) int governors,
            @ForAll @IntRange(min = 0, max = 2) int classesInZone,
            @ForAll @DoubleRange(min = 0.3, max = 0.8) double utilization,
            @ForAll @DoubleRange(min = 0.15, max = 0.5) double coldShare,
            @ForAll @DoubleRange(min = 2.5, max = 5) double fallMultiple,
            @ForAll boolean hasHealthChecks,
            @ForAll boolean admitsByRate,
            @ForAll @IntRange(min = 1, max = 1000) int seed)
            throws InvalidRecordsException {
        Site site =
                new Site(
                        zones,
                        endpointsPerZone,
                        governors,
                        classesInZone,
                        utilization,
                        coldShare,
                        fallMultiple,
                        hasHealthChecks,
                        admitsByRate);
        Assume.that(play(site, NO_FAULTS, seed).service() >= SUFFICIENT_SERVICE);
        Verdict verdict = verdict(play(site, loss.fault, seed));
        assertEquals(0, verdict.broken(), verdict.evidence());
    }

    private static Emulation.Result play(Site site, String faults, int seed)
            throws InvalidRecordsException {
        Scenario scenario = site.scenario(faults, seed);
        return Emulation.play(
                scenario,
                scenario.lasts(),
                Emulation.governorConfigs(scenario, "return", site.governorSettings()),
                RoutingPolicy.GOVERNORS,
                new Emulation.EmulationListener() {});
    }

    private static Verdict verdict(Emulation.Result result) {
        return result.verdicts().stream()
                .filter(verdict -> verdict.rule().equals(RULE))
                .findFirst()
                .orElseThrow();
    }
}
