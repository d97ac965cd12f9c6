package sprucelanding.day;

import java.util.List;

/** A day as it is scripted; day.cue says what each is, with its bounds. Times in ms. */
public record Script(String name, long seed, double lasts, List<String> zones, List<Kind> kinds,
        List<Ware> products, Replicas replicas, Proxies proxies, Governors governors, double txns, Clients clients,
        Roster roster, Rules rules, List<Trouble> troubles) {
    public record Kind(String name, int cores, double speed, int slots, int room, double part) {
    }

    public record Ware(String name, double part, double work, double sla, double expiry, double revenue, String retry,
            List<String> kinds) {
    }

    public record Replicas(int count, double coldFrom, double warmAfter, int connections) {
    }

    public record Proxies(int count, int standing, double devices, double stateOfTheWorld, String pick, int ejectsAfter,
            double ejectsFor) {
    }

    public record Governors(int count, double lines, double head, int most, int messages, double span) {
    }

    public record Clients(int retries, double pause, double tryShare) {
    }

    public record Roster(double notices, double adds) {
    }

    public record Rules(double grace, double bare, double tip, double fall) {
    }

    public record Trouble(double at, double lasts, String what, double part, double size, String zone) {
    }

    public static final String SCHEMA = "day.cue";
    public static final String DEFINITION = "#Day";

    /** What types alone cannot say; throws IllegalArgumentException with the field. */
    public void check() {
        for (int i = 0; i < troubles.size(); i++) {
            String zone = troubles.get(i).zone();
            if (zone != null && !zones.contains(zone)) {
                throw new IllegalArgumentException("troubles[" + i + "].zone: \"" + zone + "\" is none of " + zones);
            }
        }
        double parts = products.stream().mapToDouble(Ware::part).sum();
        if (Math.abs(parts - 1) > 0.01) {
            throw new IllegalArgumentException("products: their parts sum up to " + parts + ", not 100%");
        }
    }
}
