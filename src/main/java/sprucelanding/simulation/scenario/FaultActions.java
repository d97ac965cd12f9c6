package sprucelanding.simulation.scenario;

import java.util.function.Consumer;

/** Where the groups of faults register what each kind does. */
interface FaultActions {
    /** Registers the action of a kind; there is one for each. */
    void register(FaultKind kind, Consumer<Scenario.Fault> action);
}
