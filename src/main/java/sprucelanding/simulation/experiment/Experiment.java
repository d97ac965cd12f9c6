package sprucelanding.simulation.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucelanding.simulation.emulator.RoutingPolicy;

/** An experiment as it is written; lab.cue says what each is. Times in ms. */
public record Experiment(
        String name,
        List<String> days,
        List<Setting> settings,
        List<Long> seeds,
        double seconds,
        Search search) {
    public record Setting(String name, String with, String policy) {
        RoutingPolicy routingPolicy() {
            return RoutingPolicy.valueOf(policy);
        }
    }

    public record Search(
            String setting,
            String against,
            int tries,
            int troubles,
            List<String> kinds,
            double part,
            double size,
            double lasts) {}

    public static final String SCHEMA = "lab.cue";
    public static final String DEFINITION = "#Experiment";

    /** What types alone cannot say; throws IllegalArgumentException with the field. */
    public void check() {
        Set<String> names = new HashSet<>();
        settings.forEach(
                setting -> {
                    if (!names.add(setting.name)) {
                        throw new IllegalArgumentException(
                                "settings: two are named \"" + setting.name + "\"");
                    }
                });
        if (days.isEmpty() || settings.isEmpty()) {
            throw new IllegalArgumentException("days, settings: expected one of each at least");
        }
        if (search != null) {
            for (String name : List.of(search.setting, search.against)) {
                if (!names.contains(name)) {
                    throw new IllegalArgumentException(
                            "search: \"" + name + "\" is none of the settings " + names);
                }
            }
            if (search.kinds.isEmpty()) {
                throw new IllegalArgumentException("search.kinds: expected one at least");
            }
        }
    }

    Setting setting(String name) {
        return settings.stream()
                .filter(setting -> setting.name.equals(name))
                .findFirst()
                .orElseThrow();
    }
}
