package sprucelanding.simulation.rules;

/** One rule: reads the events in order of time and reports how well it was kept. */
interface Rule {
    /** Takes the next event, which {@link ObservedFleet} already reflects. */
    void accept(TraceEvent event);

    Verdict verdict();
}
