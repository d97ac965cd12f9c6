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

/** A day as it is scripted; day.cue says what each is, with its bounds. Times in ms. */
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
    public record EndpointKind(
            String name, int cores, double speed, int slots, int room, double part) {}

    public record RequestClassSettings(
            String name,
            double part,
            double work,
            double sla,
            double expiry,
            double revenue,
            String retry,
            List<String> kinds) {}

    public record EndpointSettings(int count, double coldFrom, double warmAfter, int connections) {}

    public record ProxySettings(
            int count,
            int standing,
            double devices,
            double stateOfTheWorld,
            String pick,
            int ejectsAfter,
            double ejectsFor) {}

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

    /** Troubles of a governor each, drawn by the day's seed. */
    public record RandomFaults(
            double every, double from, double until, double lasts, List<String> what) {}

    public record ClientSettings(int retries, double pause, double tryShare) {
        public ClientRetryPolicy retryPolicy() {
            return new ClientRetryPolicy(retries, pause);
        }
    }

    public record DiscoverySettings(double notices, double adds) {}

    public record RuleSettings(double grace, double bare, double tip, double fall) {}

    public record Fault(
            double at, double lasts, String what, double part, double size, String zone) {
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

    public static final String SCHEMA = "day.cue";
    public static final String DEFINITION = "#Day";

    /** Reads a script; throws Invalid with all its faults, or IOException. */
    public static Scenario read(Path file) throws InvalidRecordsException, IOException {
        return Records.read(file, SCHEMA, DEFINITION, Scenario.class);
    }

    /** What types alone cannot say; throws IllegalArgumentException with the field. */
    public void check() {
        for (int i = 0; i < troubles.size(); i++) {
            String zone = troubles.get(i).zone();
            if (zone != null && !zones.contains(zone)) {
                throw new IllegalArgumentException(
                        "troubles[" + i + "].zone: \"" + zone + "\" is none of " + zones);
            }
        }
        double parts = products.stream().mapToDouble(RequestClassSettings::part).sum();
        if (Math.abs(parts - 1) > 0.01) {
            throw new IllegalArgumentException(
                    "products: their parts sum up to " + parts + ", not 100%");
        }
    }

    /** The same day with other chances. */
    public Scenario withSeed(long seed) {
        return new Scenario(
                name, seed, lasts, zones, kinds, products, replicas, proxies, governors, random,
                txns, clients, roster, rules, troubles);
    }

    /** The same day with other troubles. */
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

    /** Its troubles, and those that its seed draws. */
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
     * The part of a station that tells of the other governors.
     *
     * @param at where each hears the others, by its number
     * @param more fields beside
     */
    public String peerConfig(int governor, IntFunction<String> addressOf, String extraFields) {
        StringBuilder text = new StringBuilder("peers: {others: [");
        for (int other = 0; governors.shared && other < governors.count; other++) {
            text.append(
                    other == governor
                            ? ""
                            : "{number: " + other + ", at: \"" + addressOf.apply(other) + "\"}, ");
        }
        return text.append(
                        String.format(
                                Locale.ROOT,
                                "], number: %d, zone: \"%s\", lease: %.0fms, room: %d, hints: %b%s}%n",
                                governor,
                                zones.get(governor % zones.size()),
                                governors.lease,
                                governors.room,
                                governors.hints,
                                extraFields))
                .toString();
    }

    /** The kind of a replica, by its position. */
    public int endpointKind(int endpoint) {
        double position = (endpoint * 0.6180339887 + 0.5) % 1;
        int kind = 0;
        while (kind < kinds.size() - 1 && position >= kinds.get(kind).part()) {
            position -= kinds.get(kind++).part();
        }
        return kind;
    }

    /** Txns a second of each proxy: most carry little, some far more. */
    public double[] expectedLoads() {
        double[] expectedLoads = new double[proxies.count()];
        double sum = 0;
        for (int i = 0; i < expectedLoads.length; i++) {
            expectedLoads[i] = Math.exp(0.8 * new Random(seed * 31 + i).nextGaussian());
            sum += expectedLoads[i];
        }
        for (int i = 0; i < expectedLoads.length; i++) {
            expectedLoads[i] *= txns / sum;
        }
        return expectedLoads;
    }

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
                products.stream().map(requestClass -> requestClass.retry().equals("once")).toList(),
                false);
    }

    /**
     * A governor's station, as records.
     *
     * @param roster fields of its roster beside those that the script says
     * @param more whole fields
     */
    public String governorConfig(
            int governor, String xdsAddress, String discovery, String extraFields) {
        StringBuilder text = new StringBuilder();
        text.append("// station: governor ")
                .append(governor)
                .append(" of the day ")
                .append(name)
                .append('\n');
        text.append("name: \"governor-")
                .append(governor)
                .append("\"\nseed: ")
                .append(seed * 100 + governor);
        text.append("\nzones: ")
                .append(quotedList(zones))
                .append("\nkinds: ")
                .append(quotedList(kinds.stream().map(EndpointKind::name).toList()));
        text.append("\nproducts: [\n");
        for (RequestClassSettings requestClass : products) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "\t{name: \"%s\", retry: \"%s\", sla: %.0fms, revenue: %.3f",
                            requestClass.name(),
                            requestClass.retry(),
                            requestClass.sla(),
                            requestClass.revenue()));
            text.append(
                    requestClass.kinds().isEmpty()
                            ? "},\n"
                            : ", kinds: " + quotedList(requestClass.kinds()) + "},\n");
        }
        text.append("]\nxds: at: \"").append(xdsAddress).append("\"\n");
        text.append(
                String.format(
                        Locale.ROOT,
                        "roster: {%s, coldFrom: %.4f, warmAfter: %.0fms}%n",
                        discovery,
                        replicas.coldFrom(),
                        replicas.warmAfter()));
        text.append(
                String.format(
                        Locale.ROOT,
                        "channel: {lines: %.0f/s, head: %.1f, most: %d, messages: %d, span: %.0fms, grace: %.0fms}%n",
                        governors.lines(),
                        governors.head(),
                        governors.most(),
                        governors.messages(),
                        governors.span(),
                        rules.grace()));
        return text.append(extraFields).toString();
    }

    private static String quotedList(List<String> values) {
        return "["
                + String.join(", ", values.stream().map(value -> "\"" + value + "\"").toList())
                + "]";
    }
}
