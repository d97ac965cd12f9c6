package sprucelanding.simulation.emulator;

/** Plan of the faults of a run. */
interface FaultPlan {
    /** Schedules the faults on the fleet's clock. Called once, before the clients start. */
    void schedule(EmulatedFleet fleet);
}
