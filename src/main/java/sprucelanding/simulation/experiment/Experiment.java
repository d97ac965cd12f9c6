package sprucelanding.simulation.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucelanding.simulation.emulator.RoutingPolicy;

/**
 * An experiment: scenarios, settings and seeds that are combined to trials. The components are
 * bound by name to the records of {@code lab.cue}, which states bounds and defaults. Times are in
 * milliseconds.
 *
 * @param name name of the experiment
 * @param days files of scenarios
 * @param settings settings of the governors; the first is compared with the others
 * @param seeds seeds of the trials; empty for one seed
 * @param seconds time that each scenario is played for; 0 for all of it
 * @param search what to search; null for nothing
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
     * @param with file of records that replace some of each governor's configuration; null for none
     * @param policy name of a {@link RoutingPolicy}
     */
    public record Setting(String name, String with, String policy) {
        /** Returns the policy by which proxies route. */
        RoutingPolicy routingPolicy() {
            return RoutingPolicy.valueOf(policy);
        }
    }

    /**
     * A search for the faults on which a setting loses most.
     *
     * @param setting name of the setting
     * @param against name of the setting that it is compared with
     * @param tries number of scenarios that are drawn
     * @param troubles greatest number of faults in each
     * @param kinds words of the kinds of faults
     * @param part greatest share of members that a fault affects
     * @param size greatest severity
     * @param lasts longest duration
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

    /** Resource with the schema. */
    public static final String SCHEMA = "lab.cue";

    /** Definition in the schema. */
    public static final String DEFINITION = "#Experiment";

    /**
     * Checks what the schema can't state.
     *
     * @throws IllegalArgumentException with the field
     */
    public void check() {
        Set<String> names = new HashSet<>();
        for (Setting setting : settings) {
            if (!names.add(setting.name)) {
                throw new IllegalArgumentException(
                        "settings: two are named \"" + setting.name + "\"");
            }
        }
        if (days.isEmpty() || settings.isEmpty()) {
            throw new IllegalArgumentException("days, settings: expected one of each at least");
        }
        if (search != null) {
            checkSearch(names);
        }
    }

    private void checkSearch(Set<String> settingNames) {
        for (String name : List.of(search.setting, search.against)) {
            if (!settingNames.contains(name)) {
                throw new IllegalArgumentException(
                        "search: \"" + name + "\" is none of the settings " + settingNames);
            }
        }
        if (search.kinds.isEmpty()) {
            throw new IllegalArgumentException("search.kinds: expected one at least");
        }
    }

    /** Returns a setting by its name, which must be one of them. */
    Setting setting(String name) {
        return settings.stream()
                .filter(setting -> setting.name.equals(name))
                .findFirst()
                .orElseThrow();
    }
}
