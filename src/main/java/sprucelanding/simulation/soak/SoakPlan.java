package sprucelanding.simulation.soak;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A plan of a soak: the size of the fleet, the limits in the configuration of its governors, and
 * the faults. Times are in milliseconds.
 *
 * @param seed seed of all random draws
 * @param duration time for which faults are injected and rules are checked
 * @param governors number of governor processes
 * @param proxies number of proxies
 * @param endpoints number of endpoints in the list at the start
 * @param grace time within which proxies must stop sending requests to a removed endpoint
 * @param entriesPerSecond rate of each governor's channel, in table entries per second
 * @param backlogLimit maximum number of table entries that wait in a channel
 * @param messageLimit maximum number of messages to one proxy within ten seconds; 0 for no limit
 * @param hasOwnZoneClass whether there is a request class that stays in the proxy's zone
 * @param faults faults ordered by time
 */
public record SoakPlan(
        long seed,
        double duration,
        int governors,
        int proxies,
        int endpoints,
        double grace,
        double entriesPerSecond,
        int backlogLimit,
        int messageLimit,
        boolean hasOwnZoneClass,
        List<SoakFault> faults) {
    /** Overhead of a message, in table entries. */
    public static final int MESSAGE_OVERHEAD_ENTRIES = 6;

    private static final double FIRST_FAULT_MS = 1500;

    /** Time at the end of a soak during which no fault is injected. */
    private static final double RECOVERY_TIME_MS = 6000;

    private static final int MESSAGE_LIMIT = 12;

    /** Time from one fault of a zone to the next. */
    private static final double ZONE_FAULT_MS = 12_000;

    /** Time at the end of a soak with faults of zones during which no fault is injected. */
    private static final double ZONE_RECOVERY_TIME_MS = 15_000;

    private static final int ZONE_FAULT_ENDPOINTS = 36;

    /**
     * Returns a plan that reproduces incident 1: a release replaces endpoints step by step, and
     * meanwhile all governors but one are killed at the same time. The remaining governor takes
     * over the fleet.
     */
    public static SoakPlan failover(long seed, int governors, int proxies) {
        int endpoints = 120;
        int step = endpoints / 5;
        List<SoakFault> faults =
                List.of(
                        new SoakFault.Replace(1000, step),
                        new SoakFault.Replace(3000, step),
                        new SoakFault.Kill(3400, allGovernorsExcept(0, governors), 5000),
                        new SoakFault.Replace(4800, step),
                        new SoakFault.Replace(6500, step / 3));
        return new SoakPlan(
                seed,
                13_000,
                governors,
                proxies,
                endpoints,
                4000,
                entriesPerSecondFor(proxies, 4000),
                20_000,
                MESSAGE_LIMIT,
                false,
                faults);
    }

    /**
     * Returns a plan with random, overlapping faults.
     *
     * @param interval mean time between two faults
     */
    public static SoakPlan random(
            long seed, double duration, int governors, int proxies, double interval) {
        SplittableRandom random = new SplittableRandom(seed);
        int endpoints = 40 + random.nextInt(100);
        double grace = 3000 + random.nextInt(4000);
        double entriesPerSecond =
                entriesPerSecondFor(proxies, grace) * (1 + 0.3 * random.nextDouble());
        List<SoakFault> faults = new ArrayList<>();
        double at = FIRST_FAULT_MS;
        while (at < duration - RECOVERY_TIME_MS) {
            faults.add(randomFault(random, at, governors, endpoints));
            at += interval * (0.2 + 1.6 * random.nextDouble());
        }
        int backlogLimit = (int) (entriesPerSecond * grace / 1000 * (0.5 + random.nextDouble()));
        return new SoakPlan(
                seed,
                duration,
                governors,
                proxies,
                endpoints,
                grace,
                entriesPerSecond,
                backlogLimit,
                MESSAGE_LIMIT,
                false,
                List.copyOf(faults));
    }

    /**
     * Returns a plan with a request class that stays in the zone. Zones are lost and return, or are
     * drained while their proxies reach no governor, and governors are restarted meanwhile.
     */
    public static SoakPlan zoneFaults(long seed, double duration, int governors, int proxies) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SoakFault> faults = new ArrayList<>();
        double at = FIRST_FAULT_MS;
        while (at < duration - ZONE_FAULT_MS - ZONE_RECOVERY_TIME_MS) {
            addZoneFaults(random, at, governors, faults);
            at += ZONE_FAULT_MS;
        }
        return new SoakPlan(
                seed,
                duration,
                governors,
                proxies,
                ZONE_FAULT_ENDPOINTS,
                4000,
                2 * entriesPerSecondFor(proxies, 4000),
                20_000,
                MESSAGE_LIMIT,
                true,
                List.copyOf(faults));
    }

    /** Adds a fault of a zone, the restart of some governors during it, and another fault. */
    private static void addZoneFaults(
            SplittableRandom random, double at, int governors, List<SoakFault> faults) {
        int zone = random.nextInt(SoakFleet.ZONES.length);
        double downtime = 6000 + random.nextInt(4000);
        if (random.nextBoolean()) {
            faults.add(new SoakFault.LoseZone(at, zone, downtime));
        } else {
            faults.add(new SoakFault.CutOffZone(at, zone, 5000 + random.nextInt(4000)));
            faults.add(new SoakFault.DrainZone(at + 1000, zone, downtime));
        }
        double restartAt = at + 2000 + random.nextInt(4000);
        for (int governor : drawGovernors(random, governors)) {
            faults.add(new SoakFault.Restart(restartAt, governor, 300 + random.nextInt(2000)));
        }
        faults.add(new SoakFault.ResetStreams(at + random.nextInt(9000), 0.3));
    }

    /**
     * Returns the rate of a channel that delivers ten table entries to every proxy within half of
     * the grace.
     */
    private static double entriesPerSecondFor(int proxies, double grace) {
        return proxies * (10 + MESSAGE_OVERHEAD_ENTRIES + 4) * 2 * 1000 / grace;
    }

    private static SoakFault randomFault(
            SplittableRandom random, double at, int governors, int endpoints) {
        int governor = random.nextInt(governors);
        return switch (random.nextInt(13)) {
            case 0 ->
                    new SoakFault.Kill(
                            at, drawGovernors(random, governors), 1000 + random.nextInt(4000));
            case 1, 2 ->
                    new SoakFault.Kill(
                            at,
                            allGovernorsExcept(random.nextInt(governors), governors),
                            2000 + random.nextInt(4000));
            case 3 -> new SoakFault.Restart(at, governor, 300 + random.nextInt(2000));
            case 4 -> new SoakFault.Pause(at, governor, 100 + random.nextInt(500));
            case 5, 6, 7 -> new SoakFault.Replace(at, 1 + random.nextInt(endpoints / 4));
            case 8 -> new SoakFault.ResetStreams(at, 0.3 * random.nextDouble());
            case 9 -> new SoakFault.SilenceStreams(at, 0.2 * random.nextDouble());
            case 10 ->
                    random.nextBoolean()
                            ? new SoakFault.ResetDiscovery(at, governor)
                            : new SoakFault.SilenceDiscovery(
                                    at, governor, 500 + random.nextInt(4000));
            case 11 ->
                    new SoakFault.LoseAcknowledgements(
                            at, 0.5 * random.nextDouble(), 500 + random.nextInt(3000));
            default ->
                    new SoakFault.OpenUnjoinedConnections(at, governor, 20 + random.nextInt(150));
        };
    }

    private static Set<Integer> allGovernorsExcept(int survivor, int governors) {
        Set<Integer> others = new LinkedHashSet<>();
        for (int i = 0; i < governors; i++) {
            if (i != survivor) {
                others.add(i);
            }
        }
        return others;
    }

    /** Draws at least one governor, and at most all but one if there are several. */
    private static Set<Integer> drawGovernors(SplittableRandom random, int governors) {
        int count = 1 + random.nextInt(Math.max(1, governors - 1));
        Set<Integer> chosen = new LinkedHashSet<>();
        while (chosen.size() < count) {
            chosen.add(random.nextInt(governors));
        }
        return chosen;
    }
}
