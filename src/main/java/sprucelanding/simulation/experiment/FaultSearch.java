package sprucelanding.simulation.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import sprucelanding.simulation.scenario.FaultKind;
import sprucelanding.simulation.scenario.Scenario;

/**
 * A search for harmful faults. The search draws random faults, and reduces a list of faults to
 * those that cause most of a loss. The caller defines the loss.
 */
final class FaultSearch {
    /** Share of the loss that must remain when a fault is removed or shortened. */
    private static final double MIN_REMAINING_LOSS_SHARE = 0.8;

    private static final double FIRST_FAULT_MS = 2000;
    private static final double MIN_DURATION_MS = 1000;

    /** Faults with at most this duration are not shortened. */
    private static final double SHORT_FAULT_MS = 2000;

    private static final double MIN_SHARE = 0.02;
    private static final String ZONE_KIND_PREFIX = "zone";

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

    /** Draws the faults of one scenario, within the limits. */
    List<Scenario.Fault> randomFaults() {
        List<Scenario.Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(limits.troubles());
        for (int i = 0; i < count; i++) {
            String kind = kinds.get(random.nextInt(kinds.size()));
            faults.add(
                    new Scenario.Fault(
                            FIRST_FAULT_MS
                                    + random.nextDouble()
                                            * Math.max(1, durationMillis - FIRST_FAULT_MS),
                            MIN_DURATION_MS
                                    + random.nextDouble() * (limits.lasts() - MIN_DURATION_MS),
                            kind,
                            MIN_SHARE + random.nextDouble() * (limits.part() - MIN_SHARE),
                            randomSize(kind),
                            needsZone(kind) ? zones.get(random.nextInt(zones.size())) : null));
        }
        faults.sort(Comparator.comparingDouble(Scenario.Fault::at));
        return List.copyOf(faults);
    }

    private static boolean needsZone(String kind) {
        return kind.startsWith(ZONE_KIND_PREFIX)
                || kind.equals(FaultKind.ENDPOINT_UNREACHABLE_FROM_ZONE.word());
    }

    /** Draws a severity in the unit of the fault kind. */
    private double randomSize(String kind) {
        double fraction = random.nextDouble();
        if (kind.equals(FaultKind.ENDPOINT_CONTENTION.word())
                || kind.equals(FaultKind.ENDPOINT_ERRORS.word())) {
            return 0.1 + 0.85 * fraction;
        }
        if (kind.equals(FaultKind.REQUEST_BURST.word())) {
            return 1 + fraction * Math.min(1, limits.size() - 1);
        }
        return 1 + fraction * Math.max(0, limits.size() - 1);
    }

    /**
     * Removes faults one by one, and then halves the duration of each remaining fault once. A step
     * is kept only if most of the loss remains.
     *
     * @param loss loss that all faults cause
     * @param lossOf function that returns the loss that a list of faults causes
     */
    static List<Scenario.Fault> reduce(
            List<Scenario.Fault> faults,
            double loss,
            ToDoubleFunction<List<Scenario.Fault>> lossOf) {
        List<Scenario.Fault> best = new ArrayList<>(faults);
        for (int i = best.size() - 1; i >= 0 && best.size() > 1; i--) {
            List<Scenario.Fault> fewer = new ArrayList<>(best);
            fewer.remove(i);
            if (lossOf.applyAsDouble(fewer) >= MIN_REMAINING_LOSS_SHARE * loss) {
                best = fewer;
            }
        }
        for (int i = 0; i < best.size(); i++) {
            Scenario.Fault fault = best.get(i);
            List<Scenario.Fault> shorter = new ArrayList<>(best);
            shorter.set(i, halved(fault));
            if (fault.lasts() > SHORT_FAULT_MS
                    && lossOf.applyAsDouble(shorter) >= MIN_REMAINING_LOSS_SHARE * loss) {
                best = shorter;
            }
        }
        return best;
    }

    private static Scenario.Fault halved(Scenario.Fault fault) {
        return new Scenario.Fault(
                fault.at(),
                fault.lasts() / 2,
                fault.what(),
                fault.part(),
                fault.size(),
                fault.zone());
    }
}
