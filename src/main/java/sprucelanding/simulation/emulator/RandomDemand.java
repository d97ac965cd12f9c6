package sprucelanding.simulation.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Demand as a script says: arrivals at random, works exponential; arrivals and works are drawn
 * apart.
 */
final class RandomDemand implements Demand {
    private static final double MAX_GAP_MILLIS = 1000; // ms after which the rate is looked at again
    private static final double MAX_WORK_FACTOR = 10; // times the mean work
    private final List<Scenario.RequestClassSettings> requestClasses;
    private final double baselineRate;
    private final UniformRandomProvider classSampler;
    private final SharedStateContinuousSampler gapSampler;
    private final SharedStateContinuousSampler workSampler;

    /**
     * @param usual txns a second
     */
    RandomDemand(
            List<Scenario.RequestClassSettings> requestClasses, double expectedRate, long seed) {
        this.requestClasses = requestClasses;
        this.baselineRate = expectedRate;
        this.classSampler = RandomSource.SPLIT_MIX_64.create(seed * 3 + 1);
        this.gapSampler =
                ZigguratSampler.Exponential.of(RandomSource.SPLIT_MIX_64.create(seed * 3));
        this.workSampler =
                ZigguratSampler.Exponential.of(RandomSource.SPLIT_MIX_64.create(seed * 3 + 2));
    }

    @Override
    public Arrival nextArrival(double afterMillis, double factor) {
        double gap = gapSampler.sample() / Math.max(1e-6, baselineRate * factor) * 1000;
        if (gap > MAX_GAP_MILLIS) {
            return new Arrival(afterMillis + MAX_GAP_MILLIS, -1, 0);
        }
        double draw = classSampler.nextDouble();
        int requestClass = 0;
        while (requestClass < requestClasses.size() - 1
                && draw >= requestClasses.get(requestClass).part()) {
            draw -= requestClasses.get(requestClass++).part();
        }
        return new Arrival(
                afterMillis + gap,
                requestClass,
                Math.min(workSampler.sample(), MAX_WORK_FACTOR)
                        * requestClasses.get(requestClass).work());
    }
}
