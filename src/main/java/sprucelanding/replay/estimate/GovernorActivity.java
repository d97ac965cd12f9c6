package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the times at which governors stood still. A capture gets events all the time; a long gap
 * between two of them is a pause, and a gap before the first event of a new incarnation is the time
 * in which the governor was dead.
 */
final class GovernorActivity {
    private static final double PAUSE_THRESHOLD_MILLIS = 800;

    private static final class Governor {
        private double lastEventAt = Double.NaN;
        private boolean heardInThisIncarnation;
    }

    private final Map<Integer, Governor> governors = new HashMap<>();
    private final List<FaultInterval> faults = new ArrayList<>();

    /** The governor's next event is of a new incarnation. */
    void startIncarnation(int governorIndex) {
        governor(governorIndex).heardInThisIncarnation = false;
    }

    /** The governor recorded something at a time in ms. */
    void onEvent(int governorIndex, double at) {
        Governor governor = governor(governorIndex);
        if (at - governor.lastEventAt > PAUSE_THRESHOLD_MILLIS) {
            FaultInterval.FaultType type =
                    governor.heardInThisIncarnation
                            ? FaultInterval.FaultType.GOVERNOR_PAUSED
                            : FaultInterval.FaultType.GOVERNOR_DEAD;
            faults.add(new FaultInterval(type, governorIndex, governor.lastEventAt, at, 1));
        }
        governor.heardInThisIncarnation = true;
        governor.lastEventAt =
                Double.isNaN(governor.lastEventAt) ? at : Math.max(governor.lastEventAt, at);
    }

    private Governor governor(int governorIndex) {
        return governors.computeIfAbsent(governorIndex, key -> new Governor());
    }

    /** Pauses and deaths so far, in the order in which they were noticed. */
    List<FaultInterval> faults() {
        return faults;
    }
}
