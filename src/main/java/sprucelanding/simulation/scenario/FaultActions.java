package sprucelanding.simulation.scenario;

import java.util.function.Consumer;

/** A registry to which each group of faults adds the actions of its fault kinds. */
interface FaultActions {
    /** Registers the action of a fault kind. Each kind has exactly one action. */
    void register(FaultKind kind, Consumer<Scenario.Fault> action);
}
