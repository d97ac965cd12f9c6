package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;

/** A selector that draws the members of a fleet that a fault affects, with a seeded generator. */
final class FaultSelection {
    private static final double WHOLE_SHARE = 1;

    private final Scenario scenario;
    private final FaultTarget target;
    private final SplittableRandom random;

    FaultSelection(Scenario scenario, FaultTarget target, SplittableRandom random) {
        this.scenario = scenario;
        this.target = target;
        this.random = random;
    }

    /** Returns the position of the zone that a fault is limited to; empty without such a zone. */
    OptionalInt zone(Scenario.Fault fault) {
        int position = fault.zone() == null ? -1 : scenario.zones().indexOf(fault.zone());
        return position < 0 ? OptionalInt.empty() : OptionalInt.of(position);
    }

    /** Draws endpoints of the fault's zone, or of all zones if the fault has none. */
    List<Integer> endpoints(Scenario.Fault fault) {
        return choose(target.endpointCount(), inZoneOf(fault, target::endpointZone), fault.part());
    }

    /** Returns all endpoints of the fault's zone; none if the fault has no zone. */
    List<Integer> endpointsOfZone(Scenario.Fault fault) {
        OptionalInt zone = zone(fault);
        List<Integer> endpoints = new ArrayList<>();
        for (int endpoint = 0; endpoint < target.endpointCount(); endpoint++) {
            if (zone.isPresent() && target.endpointZone(endpoint) == zone.getAsInt()) {
                endpoints.add(endpoint);
            }
        }
        return endpoints;
    }

    /** Draws proxies of the fault's zone, or of all zones if the fault has none. */
    List<Integer> proxies(Scenario.Fault fault) {
        return choose(target.proxyCount(), inZoneOf(fault, target::proxyZone), fault.part());
    }

    /** Draws devices of all zones. */
    List<Integer> devices(Scenario.Fault fault) {
        return choose(target.deviceCount(), device -> true, fault.part());
    }

    /** Draws governors of the fault's zone. The fault's part is a share of all governors. */
    List<Integer> governors(Scenario.Fault fault) {
        List<Integer> chosen =
                choose(target.governorCount(), inZoneOf(fault, target::governorZone), WHOLE_SHARE);
        int count = (int) Math.max(1, Math.round(fault.part() * target.governorCount()));
        return chosen.subList(0, Math.min(count, chosen.size()));
    }

    /** Draws a position from 0 to {@code count - 1}. */
    int position(int count) {
        return random.nextInt(count);
    }

    private IntPredicate inZoneOf(Scenario.Fault fault, IntUnaryOperator zoneOf) {
        OptionalInt zone = zone(fault);
        return member -> zone.isEmpty() || zoneOf.applyAsInt(member) == zone.getAsInt();
    }

    private List<Integer> choose(int count, IntPredicate isEligible, double part) {
        List<Integer> chosen = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (isEligible.test(i)) {
                chosen.add(i);
            }
        }
        Collections.shuffle(chosen, new Random(random.nextLong()));
        long wantedCount = Math.max(1, Math.round(part * chosen.size()));
        return List.copyOf(chosen.subList(0, (int) Math.min(chosen.size(), wantedCount)));
    }
}
