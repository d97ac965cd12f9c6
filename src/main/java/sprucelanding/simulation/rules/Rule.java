package sprucelanding.simulation.rules;

/** A rule of routing that is checked against the events of a trace, in order of time. */
interface Rule {
    /** Checks the next event. {@link ObservedFleet} has already applied the event. */
    void accept(TraceEvent event);

    /** Returns the result for the events so far. */
    Verdict verdict();
}
