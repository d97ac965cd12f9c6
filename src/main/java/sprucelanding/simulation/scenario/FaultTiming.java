package sprucelanding.simulation.scenario;

import java.util.List;
import java.util.function.IntConsumer;

/** A scheduler of the beginnings and ends of faults at a fleet's members. Times are in ms. */
final class FaultTiming {
    private final FaultTarget target;

    FaultTiming(FaultTarget target) {
        this.target = target;
    }

    /** Begins a fault at some members now, and ends the fault after its duration. */
    void during(Scenario.Fault fault, List<Integer> members, IntConsumer begin, IntConsumer end) {
        during(fault.lasts(), members, begin, end);
    }

    /** Begins a fault at some members now, and ends the fault after {@code durationMillis}. */
    void during(double durationMillis, List<Integer> members, IntConsumer begin, IntConsumer end) {
        members.forEach(begin::accept);
        target.schedule(durationMillis, () -> members.forEach(end::accept));
    }

    /** Begins and ends a fault at some members periodically, for the fault's duration. */
    void pulse(
            Scenario.Fault fault,
            List<Integer> members,
            PulseLength length,
            IntConsumer begin,
            IntConsumer end) {
        double periodMillis = length.activeMillis() + length.pauseMillis();
        for (double at = 0; at < fault.lasts(); at += periodMillis) {
            target.schedule(at, () -> members.forEach(begin::accept));
            target.schedule(at + length.activeMillis(), () -> members.forEach(end::accept));
        }
    }

    /** The length of a pulse of a periodic fault, and of the pause after the pulse. */
    record PulseLength(double activeMillis, double pauseMillis) {}
}
