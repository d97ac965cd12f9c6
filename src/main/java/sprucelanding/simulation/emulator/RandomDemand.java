package sprucelanding.simulation.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Random demand of a scenario: Poisson arrivals with exponentially distributed work. The gaps, the
 * request classes and the work are drawn from separate generators.
 */
final class RandomDemand implements Demand {
    /** Time after which the current request rate is read again. */
    private static final double MAX_GAP_MILLIS = 1000;

    /** Maximum work of a request, as a multiple of the mean. */
    private static final double MAX_WORK_FACTOR = 10;

    private static final double MIN_REQUESTS_PER_SECOND = 1e-6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final List<Scenario.RequestClassSettings> requestClasses;
    private final double baselineRate;
    private final UniformRandomProvider classRandom;
    private final SharedStateContinuousSampler gapSampler;
    private final SharedStateContinuousSampler workSampler;

    /**
     * Creates the demand of the clients of one proxy.
     *
     * @param expectedRate baseline request rate, in requests per second
     */
    RandomDemand(
            List<Scenario.RequestClassSettings> requestClasses, double expectedRate, long seed) {
        this.requestClasses = requestClasses;
        this.baselineRate = expectedRate;
        this.classRandom = RandomSource.SPLIT_MIX_64.create(seed * 3 + 1);
        this.gapSampler =
                ZigguratSampler.Exponential.of(RandomSource.SPLIT_MIX_64.create(seed * 3));
        this.workSampler =
                ZigguratSampler.Exponential.of(RandomSource.SPLIT_MIX_64.create(seed * 3 + 2));
    }

    @Override
    public Arrival nextArrival(double afterMillis, double factor) {
        double gap =
                gapSampler.sample()
                        / Math.max(MIN_REQUESTS_PER_SECOND, baselineRate * factor)
                        * MILLIS_PER_SECOND;
        if (gap > MAX_GAP_MILLIS) {
            return Arrival.empty(afterMillis + MAX_GAP_MILLIS);
        }
        double draw = classRandom.nextDouble();
        int requestClass = 0;
        while (requestClass < requestClasses.size() - 1
                && draw >= requestClasses.get(requestClass).part()) {
            draw -= requestClasses.get(requestClass).part();
            requestClass++;
        }
        return new Arrival(
                afterMillis + gap,
                requestClass,
                Math.min(workSampler.sample(), MAX_WORK_FACTOR)
                        * requestClasses.get(requestClass).work());
    }
}
