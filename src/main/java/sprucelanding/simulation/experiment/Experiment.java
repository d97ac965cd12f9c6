package sprucelanding.simulation.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucelanding.simulation.emulator.RoutingPolicy;

/**
 * An experiment: scenarios, settings and seeds whose combinations are trials. The components are
 * bound by name to the records of {@code lab.cue}, which states bounds and defaults. Times are in
 * milliseconds.
 *
 * @param name name of the experiment
 * @param days scenario files
 * @param settings settings of the governors; the others are compared with the first
 * @param seeds seeds of the trials; empty for a single default seed
 * @param seconds duration for which each scenario is played; 0 for the whole scenario
 * @param search search for the worst faults; null for no search
 */
public record Experiment(
        String name,
        List<String> days,
        List<Setting> settings,
        List<Long> seeds,
        double seconds,
        Search search) {
    /**
     * A setting of the governors.
     *
     * @param with file of records that override parts of each governor's configuration; null for
     *     none
     * @param policy name of a {@link RoutingPolicy}
     */
    public record Setting(String name, String with, String policy) {
        /** Returns the policy that decides how proxies route requests. */
        RoutingPolicy routingPolicy() {
            return RoutingPolicy.valueOf(policy);
        }
    }

    /**
     * A search for the faults under which a setting loses most service against another setting.
     *
     * @param setting name of the setting
     * @param against name of the reference setting
     * @param tries number of scenarios to draw
     * @param troubles maximum number of faults in each scenario
     * @param kinds configuration names of the kinds of faults
     * @param part maximum share of the fleet members that a fault affects
     * @param size maximum severity
     * @param lasts maximum duration
     */
    public record Search(
            String setting,
            String against,
            int tries,
            int troubles,
            List<String> kinds,
            double part,
            double size,
            double lasts) {}

    /** Name of the schema resource. */
    public static final String SCHEMA = "lab.cue";

    /** Name of the definition in the schema. */
    public static final String DEFINITION = "#Experiment";

    /**
     * Checks the constraints that the schema cannot state.
     *
     * @throws IllegalArgumentException with the field, if a constraint is violated
     */
    public void check() {
        Set<String> names = new HashSet<>();
        for (Setting setting : settings) {
            if (!names.add(setting.name)) {
                throw new IllegalArgumentException(
                        "settings: expected distinct names, got \"" + setting.name + "\" twice");
            }
        }
        if (days.isEmpty() || settings.isEmpty()) {
            throw new IllegalArgumentException(
                    "days, settings: expected at least one of each, got "
                            + days.size()
                            + " and "
                            + settings.size());
        }
        if (search != null) {
            checkSearch(names);
        }
    }

    private void checkSearch(Set<String> settingNames) {
        for (String name : List.of(search.setting, search.against)) {
            if (!settingNames.contains(name)) {
                throw new IllegalArgumentException(
                        "search: expected one of the settings "
                                + settingNames
                                + ", got \""
                                + name
                                + "\"");
            }
        }
        if (search.kinds.isEmpty()) {
            throw new IllegalArgumentException(
                    "search.kinds: expected at least one kind, got none");
        }
    }

    /** Returns the setting with a name, which must exist. */
    Setting setting(String name) {
        return settings.stream()
                .filter(setting -> setting.name.equals(name))
                .findFirst()
                .orElseThrow();
    }
}
