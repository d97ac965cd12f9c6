package sprucelanding.control.core;

import java.util.function.BooleanSupplier;

/** Pulls decisions from a module until it has none. */
final class DecisionLoop {
    private DecisionLoop() {}

    /** Pulls until the decision returns false; one that throws is reported to the host. */
    static void runUntilIdle(GovernorHost host, BooleanSupplier decision) {
        try {
            while (decision.getAsBoolean()) {
                continue;
            }
        } catch (RuntimeException e) {
            host.decisionFailed(e);
        }
    }
}
