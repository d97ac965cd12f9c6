package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * Sampler that records the utilization, the admitted shares and the acknowledgement times of a
 * fleet every second.
 */
final class FleetSampler {
    static final double INTERVAL_MILLIS = 1000;

    private final EmulatedFleet fleet;
    private final List<EmulatedProxy> proxies;
    private final List<double[]> samples = new ArrayList<>();

    FleetSampler(EmulatedFleet fleet, List<EmulatedProxy> proxies) {
        this.fleet = fleet;
        this.proxies = proxies;
    }

    /** Takes a sample, and schedules the next sample until the clients stop sending requests. */
    void sample() {
        int zoneCount = fleet.zones.size();
        int classCount = fleet.requestClasses.size();
        double[] row = new double[1 + zoneCount + classCount + 1];
        row[0] = (fleet.clock.now() - fleet.startsAt()) / 1000;
        int[] upCountByZone = new int[zoneCount];
        for (EmulatedEndpoint endpoint : fleet.endpoints) {
            if (endpoint.isUp()) {
                row[1 + endpoint.zone] += endpoint.utilization();
                upCountByZone[endpoint.zone]++;
            }
        }
        for (int zone = 0; zone < zoneCount; zone++) {
            row[1 + zone] /= Math.max(1, upCountByZone[zone]);
        }
        for (int requestClass = 0; requestClass < classCount; requestClass++) {
            for (EmulatedProxy proxy : proxies) {
                row[1 + zoneCount + requestClass] +=
                        proxy.admittedShare(requestClass) / proxies.size();
            }
        }
        for (EmulatedGovernor governor : fleet.governors) {
            row[row.length - 1] =
                    Math.max(row[row.length - 1], governor.acknowledgementTimes().takeLongest());
        }
        samples.add(row);
        if (fleet.clock.now() < fleet.endsAt()) {
            fleet.clock.scheduleAfter(INTERVAL_MILLIS, this::sample);
        }
    }

    /**
     * Returns one row for each sample: seconds since the clients started, mean utilization by zone,
     * mean admitted share by request class, longest acknowledgement in ms.
     */
    List<double[]> samples() {
        return samples;
    }
}
