package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.model.ClientRetryPolicy;
import sprucelanding.simulation.rules.RuleLimits;

/**
 * A scenario: a fleet, its clients, and the faults that are injected into it. The components are
 * bound by name to the records of {@code day.cue}, which states bounds and defaults. Times are in
 * milliseconds; shares are from 0 to 1.
 *
 * @param name name in reports
 * @param seed seed of all random draws
 * @param lasts time from the first request until clients stop
 * @param zones names of the zones; members are spread over them in turn
 * @param kinds kinds of endpoints
 * @param products request classes
 * @param replicas endpoints
 * @param proxies proxies
 * @param governors governors and their channels
 * @param random faults that the seed draws; null for none
 * @param txns requests per second of all clients
 * @param clients how clients repeat requests
 * @param roster delays of discovery
 * @param rules limits of the rules
 * @param troubles faults
 */
public record Scenario(
        String name,
        long seed,
        double lasts,
        List<String> zones,
        List<EndpointKind> kinds,
        List<RequestClassSettings> products,
        EndpointSettings replicas,
        ProxySettings proxies,
        GovernorSettings governors,
        RandomFaults random,
        double txns,
        ClientSettings clients,
        DiscoverySettings roster,
        RuleSettings rules,
        List<Fault> troubles) {
    /**
     * A kind of endpoint.
     *
     * @param cores processor cores
     * @param speed speed of a core, 1 being usual
     * @param slots requests that run at a time
     * @param room requests that wait
     * @param part share of the endpoints
     */
    public record EndpointKind(
            String name, int cores, double speed, int slots, int room, double part) {}

    /**
     * A request class.
     *
     * @param part share of the requests
     * @param work mean work of a request on a core of speed 1
     * @param sla time limit of an answer
     * @param expiry time after which a client gives up
     * @param revenue revenue of an answer in time
     * @param retry {@code safe} if a request may be executed twice, or {@code once}
     * @param kinds kinds of endpoints that serve it; empty for all
     */
    public record RequestClassSettings(
            String name,
            double part,
            double work,
            double sla,
            double expiry,
            double revenue,
            String retry,
            List<String> kinds) {
        /** Returns whether a request may be executed twice. */
        public boolean isIdempotent() {
            return retry.equals(SAFE_TO_RETRY);
        }
    }

    /**
     * The endpoints.
     *
     * @param count number of endpoints
     * @param coldFrom share of the capacity at the start of a process
     * @param warmAfter time until the full capacity
     * @param connections connections that an endpoint accepts
     */
    public record EndpointSettings(int count, double coldFrom, double warmAfter, int connections) {}

    /**
     * The proxies.
     *
     * @param count number of proxies
     * @param standing endpoints that a proxy uses before its first tables
     * @param devices share that takes NETCONF edits; the others use xDS
     * @param stateOfTheWorld share that uses the state-of-the-world variant; the others take deltas
     * @param pick how an endpoint is picked
     * @param ejectsAfter consecutive failures after which a proxy ejects an endpoint by itself
     * @param ejectsFor time of such an ejection
     */
    public record ProxySettings(
            int count,
            int standing,
            double devices,
            double stateOfTheWorld,
            String pick,
            int ejectsAfter,
            double ejectsFor) {}

    /**
     * The governors and their channels.
     *
     * @param count number of governors
     * @param lines entries per second that a channel carries
     * @param head cost of a message, in entries
     * @param most entries that may wait in a channel
     * @param messages messages to a proxy within {@code span}; 0 for no limit
     * @param span time over which messages are counted
     * @param shared whether governors share the fleet and take over from each other
     * @param lease time of a lease
     * @param room proxies that a governor accepts beyond its quota
     * @param hints whether governors exchange evidence
     */
    public record GovernorSettings(
            int count,
            double lines,
            double head,
            int most,
            int messages,
            double span,
            boolean shared,
            double lease,
            int room,
            boolean hints) {}

    /**
     * Faults of one governor each, drawn by the seed.
     *
     * @param every mean time between two faults
     * @param from time of the first
     * @param until time after which there are none
     * @param lasts mean duration
     * @param what words of the kinds that are drawn
     */
    public record RandomFaults(
            double every, double from, double until, double lasts, List<String> what) {}

    /**
     * How clients repeat requests.
     *
     * @param retries retries of a request
     * @param pause pause before a retry
     * @param tryShare share of the time limit after which an attempt is given up
     */
    public record ClientSettings(int retries, double pause, double tryShare) {
        /** Returns the policy that simulated clients follow. */
        public ClientRetryPolicy retryPolicy() {
            return new ClientRetryPolicy(retries, pause);
        }
    }

    /**
     * Delays of discovery.
     *
     * @param notices time until an end is listed
     * @param adds time until a start is listed
     */
    public record DiscoverySettings(double notices, double adds) {}

    /**
     * Limits of the rules, as in {@link RuleLimits}.
     *
     * @param grace time until a proxy must have stopped sending to a removed endpoint
     * @param bare time that a proxy may be without entries
     * @param tip factor by which a warming endpoint must not be overloaded
     * @param fall time over which its work is summed
     */
    public record RuleSettings(double grace, double bare, double tip, double fall) {}

    /**
     * A fault that is injected.
     *
     * @param at time after the first request
     * @param lasts duration
     * @param what word of a {@link FaultKind}
     * @param part share of the members that it can affect
     * @param size how severe it is; its unit depends on the kind
     * @param zone name of the zone that it is limited to; null for none
     */
    public record Fault(
            double at, double lasts, String what, double part, double size, String zone) {
        /** Returns the line that is logged when it is injected. */
        String toRecord() {
            return String.format(
                    Locale.ROOT,
                    "%s%s, part %.2f, size %.2f, for %.1f s",
                    what,
                    zone == null ? "" : " in " + zone,
                    part,
                    size,
                    lasts / 1000);
        }
    }

    /** Resource with the schema. */
    public static final String SCHEMA = "day.cue";

    /** Definition in the schema. */
    public static final String DEFINITION = "#Day";

    private static final double SHARE_TOLERANCE = 0.01;
    private static final String SAFE_TO_RETRY = "safe";
    private static final String EXECUTE_ONCE = "once";

    /** Endpoints of one kind are spread by multiples of the golden ratio. */
    private static final double GOLDEN_RATIO = 0.6180339887;

    /** Standard deviation of the logarithm of proxies' request rates. */
    private static final double LOAD_DEVIATION = 0.8;

    /**
     * Reads a scenario from a file.
     *
     * @throws InvalidRecordsException with all errors of the file
     */
    public static Scenario read(Path file) throws InvalidRecordsException, IOException {
        return Records.read(file, SCHEMA, DEFINITION, Scenario.class);
    }

    /**
     * Checks what the schema can't state.
     *
     * @throws IllegalArgumentException with the field
     */
    public void check() {
        for (int i = 0; i < troubles.size(); i++) {
            String zone = troubles.get(i).zone();
            if (zone != null && !zones.contains(zone)) {
                throw new IllegalArgumentException(
                        "troubles[" + i + "].zone: \"" + zone + "\" is none of " + zones);
            }
        }
        double parts = products.stream().mapToDouble(RequestClassSettings::part).sum();
        if (Math.abs(parts - 1) > SHARE_TOLERANCE) {
            throw new IllegalArgumentException(
                    "products: their parts sum up to " + parts + ", not 100%");
        }
    }

    /** Returns the same scenario with another seed. */
    public Scenario withSeed(long seed) {
        return new Scenario(
                name, seed, lasts, zones, kinds, products, replicas, proxies, governors, random,
                txns, clients, roster, rules, troubles);
    }

    /** Returns the same scenario with other faults. */
    public Scenario withFaults(List<Fault> faults) {
        return new Scenario(
                name,
                seed,
                lasts,
                zones,
                kinds,
                products,
                replicas,
                proxies,
                governors,
                random,
                txns,
                clients,
                roster,
                rules,
                List.copyOf(faults));
    }

    /** Returns its faults and those that its seed draws, in order of time. */
    public List<Fault> allFaults() {
        if (random == null) {
            return troubles;
        }
        List<Fault> faults = new ArrayList<>(troubles);
        SplittableRandom generator = new SplittableRandom(seed * 7919 + 17);
        for (double at = random.from;
                at < random.until;
                at += random.every * (0.5 + generator.nextDouble())) {
            String fault = random.what.get(generator.nextInt(random.what.size()));
            faults.add(
                    new Fault(
                            at,
                            random.lasts * (0.5 + generator.nextDouble()),
                            fault,
                            1.0 / Math.max(1, governors.count),
                            1,
                            null));
        }
        faults.sort(Comparator.comparingDouble(Fault::at));
        return faults;
    }

    /**
     * Returns the part of a governor's configuration that names the other governors.
     *
     * @param governor number of the governor
     * @param addressOf where it reaches each of the others
     * @param extraFields further fields, each after a comma
     */
    public String peerConfig(int governor, IntFunction<String> addressOf, String extraFields) {
        return new GovernorConfigText(this, governor).peers(addressOf, extraFields);
    }

    /** Returns the kind of an endpoint, by its position. */
    public int endpointKind(int endpoint) {
        double position = (endpoint * GOLDEN_RATIO + 0.5) % 1;
        int kind = 0;
        while (kind < kinds.size() - 1 && position >= kinds.get(kind).part()) {
            position -= kinds.get(kind).part();
            kind++;
        }
        return kind;
    }

    /** Returns the requests per second of each proxy: most carry few, some far more. */
    public double[] expectedLoads() {
        double[] expectedLoads = new double[proxies.count()];
        double sum = 0;
        for (int i = 0; i < expectedLoads.length; i++) {
            expectedLoads[i] = Math.exp(LOAD_DEVIATION * new Random(seed * 31 + i).nextGaussian());
            sum += expectedLoads[i];
        }
        for (int i = 0; i < expectedLoads.length; i++) {
            expectedLoads[i] *= txns / sum;
        }
        return expectedLoads;
    }

    /** Returns the limits of the rules. */
    public RuleLimits ruleLimits() {
        return new RuleLimits(
                rules.grace(),
                rules.bare(),
                replicas.coldFrom(),
                replicas.warmAfter(),
                rules.tip(),
                rules.fall(),
                Math.max(1, governors.most()),
                governors.lines() / 1000,
                governors.head(),
                governors.messages(),
                governors.span(),
                products.stream()
                        .map(requestClass -> requestClass.retry().equals(EXECUTE_ONCE))
                        .toList(),
                false);
    }

    /**
     * Returns the configuration of a governor.
     *
     * @param governor number of the governor
     * @param xdsAddress where proxies reach it
     * @param discovery fields of discovery beside those of the scenario
     * @param extraFields further fields of the configuration
     */
    public String governorConfig(
            int governor, String xdsAddress, String discovery, String extraFields) {
        return new GovernorConfigText(this, governor).all(xdsAddress, discovery, extraFields);
    }

    /** Returns the longest time after which a client gives a request up; 0 without requests. */
    double maxExpiryMillis() {
        return products.stream().mapToDouble(RequestClassSettings::expiry).max().orElse(0);
    }
}
