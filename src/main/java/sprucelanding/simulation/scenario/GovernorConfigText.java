package sprucelanding.simulation.scenario;

import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;

/** A writer of the configuration of one governor of a scenario, as records in CUE's syntax. */
final class GovernorConfigText {
    private final Scenario scenario;
    private final int governor;

    GovernorConfigText(Scenario scenario, int governor) {
        this.scenario = scenario;
        this.governor = governor;
    }

    /**
     * Returns the part that names the other governors.
     *
     * @param addressOf address at which the governor reaches each of the others
     * @param extraFields further fields, each after a comma
     */
    String peerConfig(IntFunction<String> addressOf, String extraFields) {
        Scenario.GovernorSettings settings = scenario.governors();
        StringBuilder text = new StringBuilder("peers: {others: [");
        for (int other = 0; settings.shared() && other < settings.count(); other++) {
            if (other != governor) {
                text.append("{number: ")
                        .append(other)
                        .append(", at: \"")
                        .append(addressOf.apply(other))
                        .append("\"}, ");
            }
        }
        return text.append(
                        String.format(
                                Locale.ROOT,
                                "], number: %d, zone: \"%s\", lease: %.0fms, room: %d, hints: %b%s}%n",
                                governor,
                                scenario.zones().get(governor % scenario.zones().size()),
                                settings.lease(),
                                settings.room(),
                                settings.hints(),
                                extraFields))
                .toString();
    }

    /**
     * Returns the complete configuration.
     *
     * @param xdsAddress address at which proxies reach the governor
     * @param discovery fields of discovery in addition to those of the scenario
     * @param extraFields further records of the configuration
     */
    String fullConfig(String xdsAddress, String discovery, String extraFields) {
        return header()
                + requestClasses()
                + "xds: at: \""
                + xdsAddress
                + "\"\n"
                + discovery(discovery)
                + channel()
                + extraFields;
    }

    private String header() {
        List<String> kindNames =
                scenario.kinds().stream().map(Scenario.EndpointKind::name).toList();
        return "// station: governor "
                + governor
                + " of the day "
                + scenario.name()
                + "\nname: \"governor-"
                + governor
                + "\"\nseed: "
                + (scenario.seed() * 100 + governor)
                + "\nzones: "
                + quotedList(scenario.zones())
                + "\nkinds: "
                + quotedList(kindNames);
    }

    private String requestClasses() {
        StringBuilder text = new StringBuilder("\nproducts: [\n");
        for (Scenario.RequestClassSettings requestClass : scenario.products()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "\t{name: \"%s\", retry: \"%s\", sla: %.0fms, revenue: %.3f",
                            requestClass.name(),
                            requestClass.retry(),
                            requestClass.sla(),
                            requestClass.revenue()));
            if (!requestClass.kinds().isEmpty()) {
                text.append(", kinds: ").append(quotedList(requestClass.kinds()));
            }
            text.append("},\n");
        }
        return text.append("]\n").toString();
    }

    private String discovery(String fields) {
        return String.format(
                Locale.ROOT,
                "roster: {%s, coldFrom: %.4f, warmAfter: %.0fms}%n",
                fields,
                scenario.replicas().coldFrom(),
                scenario.replicas().warmAfter());
    }

    private String channel() {
        Scenario.GovernorSettings settings = scenario.governors();
        return String.format(
                Locale.ROOT,
                "channel: {lines: %.0f/s, head: %.1f, most: %d, messages: %d, span: %.0fms, grace: %.0fms}%n",
                settings.lines(),
                settings.head(),
                settings.most(),
                settings.messages(),
                settings.span(),
                scenario.rules().grace());
    }

    private static String quotedList(List<String> values) {
        List<String> quoted = values.stream().map(value -> "\"" + value + "\"").toList();
        return "[" + String.join(", ", quoted) + "]";
    }
}
