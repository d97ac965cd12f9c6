package sprucelanding.simulation.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Looks for troubles on which a loss is greatest, and cuts them down to what matters. It only
 * decides what to try: the loss is asked of whoever plays the days.
 */
final class FaultSearch {
    private static final double KEPT_LOSS_SHARE = 0.8; // of a loss, for a trouble not to matter
    private static final double FIRST_FAULT_MILLIS = 2000;
    private final List<String> kinds;
    private final List<String> zones;
    private final Experiment.Search limits;
    private final double durationMillis;
    private final SplittableRandom random;

    FaultSearch(Experiment.Search limits, List<String> zones, double durationMillis, long seed) {
        this.kinds = limits.kinds();
        this.zones = zones;
        this.limits = limits;
        this.durationMillis = durationMillis;
        this.random = new SplittableRandom(seed);
    }

    /** One day's troubles, within the ranges. */
    List<Scenario.Fault> randomFaults() {
        List<Scenario.Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(limits.troubles());
        for (int i = 0; i < count; i++) {
            String kind = kinds.get(random.nextInt(kinds.size()));
            boolean needsZone = kind.startsWith("zone") || kind.equals("oneSided");
            faults.add(
                    new Scenario.Fault(
                            FIRST_FAULT_MILLIS
                                    + random.nextDouble()
                                            * Math.max(1, durationMillis - FIRST_FAULT_MILLIS),
                            1000 + random.nextDouble() * (limits.lasts() - 1000),
                            kind,
                            0.02 + random.nextDouble() * (limits.part() - 0.02),
                            randomSize(kind),
                            needsZone ? zones.get(random.nextInt(zones.size())) : null));
        }
        faults.sort(java.util.Comparator.comparingDouble(Scenario.Fault::at));
        return List.copyOf(faults);
    }

    private double randomSize(String kind) {
        double fraction = random.nextDouble();
        return switch (kind) {
            case "neighbour", "errors" -> 0.1 + 0.85 * fraction;
            case "burst" -> 1 + fraction * Math.min(1, limits.size() - 1);
            default -> 1 + fraction * Math.max(0, limits.size() - 1);
        };
    }

    /**
     * Leaves out one trouble after the other, and shortens those that stay, as long as most of the
     * loss stays too.
     */
    static List<Scenario.Fault> reduce(
            List<Scenario.Fault> faults,
            double loss,
            ToDoubleFunction<List<Scenario.Fault>> lossOf) {
        List<Scenario.Fault> best = new ArrayList<>(faults);
        for (int i = best.size() - 1; i >= 0 && best.size() > 1; i--) {
            List<Scenario.Fault> fewer = new ArrayList<>(best);
            fewer.remove(i);
            if (lossOf.applyAsDouble(fewer) >= KEPT_LOSS_SHARE * loss) {
                best = fewer;
            }
        }
        for (int i = 0; i < best.size(); i++) {
            Scenario.Fault fault = best.get(i);
            List<Scenario.Fault> shorter = new ArrayList<>(best);
            shorter.set(
                    i,
                    new Scenario.Fault(
                            fault.at(),
                            fault.lasts() / 2,
                            fault.what(),
                            fault.part(),
                            fault.size(),
                            fault.zone()));
            if (fault.lasts() > 2000 && lossOf.applyAsDouble(shorter) >= KEPT_LOSS_SHARE * loss) {
                best = shorter;
            }
        }
        return best;
    }
}
