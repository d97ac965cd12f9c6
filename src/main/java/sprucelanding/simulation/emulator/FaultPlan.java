package sprucelanding.simulation.emulator;

/** Schedules the faults of a run on the fleet's clock: called once, before the clients start. */
interface FaultPlan {
    void schedule(EmulatedFleet fleet);
}
