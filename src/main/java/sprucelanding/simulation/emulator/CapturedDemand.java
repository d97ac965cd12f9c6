package sprucelanding.simulation.emulator;

import java.util.List;
import java.util.SplittableRandom;
import sprucelanding.replay.estimate.EstimatedRequest;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Captured demand of one proxy's clients. The work of a request is drawn at random if the capture
 * does not give the work.
 */
final class CapturedDemand implements Demand {
    private final List<EstimatedRequest> requests;
    private final Scenario scenario;
    private final SplittableRandom workRandom;
    private int nextIndex;

    CapturedDemand(List<EstimatedRequest> requests, Scenario scenario, long seed) {
        this.requests = requests;
        this.scenario = scenario;
        this.workRandom = new SplittableRandom(seed);
    }

    @Override
    public Arrival nextArrival(double afterMillis, double factor) {
        if (nextIndex >= requests.size()) {
            return null;
        }
        EstimatedRequest request = requests.get(nextIndex);
        nextIndex++;
        double work =
                Double.isNaN(request.workMillis())
                        ? -StrictMath.log(1 - workRandom.nextDouble())
                                * scenario.products().get(request.classIndex()).work()
                        : request.workMillis();
        return new Arrival(Math.max(0, request.at()), request.classIndex(), work);
    }
}
