package sprucelanding.simulation.scenario;

import java.util.List;
import java.util.function.IntConsumer;

/** Begins faults and ends them later, at a fleet's members. Times are in milliseconds. */
final class FaultTiming {
    private final FaultTarget target;

    FaultTiming(FaultTarget target) {
        this.target = target;
    }

    /** Begins a fault now and ends it after the time that it lasts. */
    void during(Scenario.Fault fault, List<Integer> members, IntConsumer begin, IntConsumer end) {
        during(fault.lasts(), members, begin, end);
    }

    /** Begins a fault now and ends it after {@code durationMillis}. */
    void during(double durationMillis, List<Integer> members, IntConsumer begin, IntConsumer end) {
        members.forEach(begin::accept);
        target.schedule(durationMillis, () -> members.forEach(end::accept));
    }

    /** Begins and ends a fault again and again as long as it lasts. */
    void pulse(
            Scenario.Fault fault,
            List<Integer> members,
            PulseLength length,
            IntConsumer begin,
            IntConsumer end) {
        double period = length.activeMillis() + length.pauseMillis();
        for (double at = 0; at < fault.lasts(); at += period) {
            target.schedule(at, () -> members.forEach(begin::accept));
            target.schedule(at + length.activeMillis(), () -> members.forEach(end::accept));
        }
    }

    /** How long a pulsing fault is active, and how long it pauses. */
    record PulseLength(double activeMillis, double pauseMillis) {}
}
