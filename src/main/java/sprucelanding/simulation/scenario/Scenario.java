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
 * A scenario: a fleet, its clients, and the faults that are injected into the fleet. The components
 * are bound by name to the records of {@code day.cue}, which states bounds and defaults. Times are
 * in milliseconds. Shares are from 0 to 1.
 *
 * @param name name of the scenario in reports
 * @param seed seed of all random draws
 * @param lasts time from the first request until clients stop
 * @param zones names of the zones; members are assigned to zones in turn
 * @param kinds kinds of endpoints
 * @param products request classes
 * @param replicas endpoints
 * @param proxies proxies
 * @param governors governors and their channels
 * @param random settings of faults that are drawn with the seed; null for no such faults
 * @param txns requests per second of all clients
 * @param clients retries of clients
 * @param roster delays of discovery
 * @param rules limits of the rules
 * @param troubles faults with a fixed time
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
     * @param speed speed of a core; 1 is the usual speed
     * @param slots maximum number of requests that run at the same time
     * @param room maximum number of requests that wait
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
     * @param expiry time after which a client gives up the request
     * @param revenue revenue of a request that is answered in time
     * @param retry {@code safe} if a request may be executed twice, or {@code once}
     * @param kinds kinds of endpoints that serve the request class; empty for all kinds
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
     * @param coldFrom share of the full capacity that an endpoint has at its start
     * @param warmAfter time from the start of an endpoint until it has its full capacity
     * @param connections maximum number of connections that an endpoint accepts
     */
    public record EndpointSettings(int count, double coldFrom, double warmAfter, int connections) {}

    /**
     * The proxies.
     *
     * @param count number of proxies
     * @param standing number of endpoints that a proxy uses until it receives tables
     * @param devices share of the proxies that are configured by NETCONF; the others use xDS
     * @param stateOfTheWorld share of the proxies that use state-of-the-world xDS; the others use
     *     delta xDS
     * @param pick algorithm by which a proxy picks an endpoint
     * @param ejectsAfter consecutive failures after which a proxy ejects an endpoint by itself
     * @param ejectsFor duration of such an ejection
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
     * @param head cost of a message in addition to its entries, in entries
     * @param most maximum number of entries that wait in a channel
     * @param messages maximum number of messages to a proxy within {@code span}; 0 for no limit
     * @param span time span over which messages are counted
     * @param shared whether governors share the fleet and take over from each other
     * @param lease duration of a lease
     * @param room number of proxies that a governor accepts beyond its quota
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
     * Faults that are drawn with the seed. Each fault affects one governor.
     *
     * @param every mean time between two faults
     * @param from time of the first fault
     * @param until time from which no fault begins
     * @param lasts mean duration of a fault
     * @param what words of the kinds of faults that are drawn
     */
    public record RandomFaults(
            double every, double from, double until, double lasts, List<String> what) {}

    /**
     * The retries of clients.
     *
     * @param retries maximum number of retries of a request
     * @param pause time between a failed attempt and the retry
     * @param tryShare share of the time limit of an answer after which an attempt is given up
     */
    public record ClientSettings(int retries, double pause, double tryShare) {
        /** Returns the policy that simulated clients follow. */
        public ClientRetryPolicy retryPolicy() {
            return new ClientRetryPolicy(retries, pause);
        }
    }

    /**
     * The delays of discovery.
     *
     * @param notices time from the end of an endpoint until discovery reports the end
     * @param adds time from the start of an endpoint until discovery reports the start
     */
    public record DiscoverySettings(double notices, double adds) {}

    /**
     * The limits of the rules, as in {@link RuleLimits}.
     *
     * @param grace longest time for which a proxy may send to a removed endpoint
     * @param bare longest time for which a proxy may have no table entry
     * @param tip multiple of a warming endpoint's current capacity above which it is overloaded
     * @param fall time span over which the work of a warming endpoint is summed
     */
    public record RuleSettings(double grace, double bare, double tip, double fall) {}

    /**
     * A fault that is injected into the fleet.
     *
     * @param at time from the first request to the injection
     * @param lasts duration
     * @param what word of a {@link FaultKind}
     * @param part share of the eligible members that the fault affects
     * @param size severity of the fault, in a unit that depends on the kind
     * @param zone name of the zone that the fault is limited to; null for all zones
     */
    public record Fault(
            double at, double lasts, String what, double part, double size, String zone) {
        /** Returns the line that is printed when the fault is injected. */
        String toLogLine() {
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

    /** Name of the resource with the schema of scenarios. */
    public static final String SCHEMA = "day.cue";

    /** Name of the definition of a scenario in the schema. */
    public static final String DEFINITION = "#Day";

    private static final double PART_SUM_TOLERANCE = 0.01;
    private static final String SAFE_TO_RETRY = "safe";
    private static final String EXECUTE_ONCE = "once";

    /** Multiples of this ratio spread the endpoints of one kind evenly over all positions. */
    private static final double GOLDEN_RATIO = 0.6180339887;

    /** Standard deviation of the logarithm of the proxies' request rates. */
    private static final double LOG_LOAD_DEVIATION = 0.8;

    /**
     * Reads a scenario from a file.
     *
     * @throws InvalidRecordsException with all errors of the file
     */
    public static Scenario read(Path file) throws InvalidRecordsException, IOException {
        return Records.read(file, SCHEMA, DEFINITION, Scenario.class);
    }

    /**
     * Checks the conditions that the schema cannot express.
     *
     * @throws IllegalArgumentException with the name of the wrong field
     */
    public void check() {
        for (int i = 0; i < troubles.size(); i++) {
            String zone = troubles.get(i).zone();
            if (zone != null && !zones.contains(zone)) {
                throw new IllegalArgumentException(
                        "troubles["
                                + i
                                + "].zone: \""
                                + zone
                                + "\" is not one of the zones "
                                + zones);
            }
        }
        double partSum = products.stream().mapToDouble(RequestClassSettings::part).sum();
        if (Math.abs(partSum - 1) > PART_SUM_TOLERANCE) {
            throw new IllegalArgumentException(
                    "products: the sum of part is " + partSum + ", expected 1 (100%)");
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

    /**
     * Returns the faults with a fixed time and the faults drawn with the seed, in order of time.
     */
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
     * @param addressOf address at which the governor reaches each of the others
     * @param extraFields further fields, each after a comma
     */
    public String peerConfig(int governor, IntFunction<String> addressOf, String extraFields) {
        return new GovernorConfigText(this, governor).peerConfig(addressOf, extraFields);
    }

    /** Returns the position of the kind of an endpoint, given the position of the endpoint. */
    public int endpointKind(int endpoint) {
        double position = (endpoint * GOLDEN_RATIO + 0.5) % 1;
        int kind = 0;
        while (kind < kinds.size() - 1 && position >= kinds.get(kind).part()) {
            position -= kinds.get(kind).part();
            kind++;
        }
        return kind;
    }

    /** Returns the requests per second of each proxy. Most rates are low, and a few are high. */
    public double[] expectedLoads() {
        double[] expectedLoads = new double[proxies.count()];
        double sum = 0;
        for (int i = 0; i < expectedLoads.length; i++) {
            expectedLoads[i] =
                    StrictMath.exp(LOG_LOAD_DEVIATION * new Random(seed * 31 + i).nextGaussian());
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
     * @param xdsAddress address at which proxies reach the governor
     * @param discovery fields of discovery in addition to those of the scenario
     * @param extraFields further fields of the configuration
     */
    public String governorConfig(
            int governor, String xdsAddress, String discovery, String extraFields) {
        return new GovernorConfigText(this, governor)
                .fullConfig(xdsAddress, discovery, extraFields);
    }

    /** Returns the longest expiry of all request classes; 0 if there are no request classes. */
    double maxExpiryMillis() {
        return products.stream().mapToDouble(RequestClassSettings::expiry).max().orElse(0);
    }
}
