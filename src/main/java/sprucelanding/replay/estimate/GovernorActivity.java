package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A detector of the intervals in which governors were paused or not running. A running governor
 * records events all the time. A long interval without events is therefore a pause; if the interval
 * ends with the first event of a new generation, the governor was not running.
 */
final class GovernorActivity {
    private static final double PAUSE_THRESHOLD_MILLIS = 800;

    private static final class Governor {
        private double lastEventAt = Double.NaN;
        private boolean hasEventInGeneration;
    }

    private final Map<Integer, Governor> governors = new HashMap<>();
    private final List<FaultInterval> faults = new ArrayList<>();

    /** Starts a new generation of a governor, to which the governor's next event belongs. */
    void startGeneration(int governorIndex) {
        governor(governorIndex).hasEventInGeneration = false;
    }

    /** Processes the time in ms of a governor's next event. */
    void onEvent(int governorIndex, double at) {
        Governor governor = governor(governorIndex);
        if (at - governor.lastEventAt > PAUSE_THRESHOLD_MILLIS) {
            FaultInterval.FaultType type =
                    governor.hasEventInGeneration
                            ? FaultInterval.FaultType.GOVERNOR_PAUSED
                            : FaultInterval.FaultType.GOVERNOR_DEAD;
            faults.add(new FaultInterval(type, governorIndex, governor.lastEventAt, at, 1));
        }
        governor.hasEventInGeneration = true;
        governor.lastEventAt =
                Double.isNaN(governor.lastEventAt) ? at : Math.max(governor.lastEventAt, at);
    }

    private Governor governor(int governorIndex) {
        return governors.computeIfAbsent(governorIndex, key -> new Governor());
    }

    /** Returns the faults found so far, in the order in which they were found. */
    List<FaultInterval> faults() {
        return faults;
    }
}
