package sprucelanding.control.core;

import java.util.function.BooleanSupplier;

/** Loop that takes decisions from a module until the module has none left. */
final class DecisionLoop {
    private DecisionLoop() {}

    /**
     * Runs the decision until it returns false. An exception ends the loop and is reported to the
     * host.
     */
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
