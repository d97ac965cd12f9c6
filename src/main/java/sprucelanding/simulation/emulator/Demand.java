package sprucelanding.simulation.emulator;

/** What one proxy's clients ask for first, before any try of theirs is repeated. */
public interface Demand {
    /**
     * At, in ms of the day; product below 0: nothing, but look again then. Work in ms on a core of
     * speed 1.
     */
    record Arrival(double at, int requestClass, double work) {}

    /**
     * The next one after a time, if clients ask times as much as usual; null: nothing more comes.
     */
    Arrival nextArrival(double afterMillis, double factor);
}
