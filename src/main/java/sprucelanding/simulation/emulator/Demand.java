package sprucelanding.simulation.emulator;

/** The requests of one proxy's clients, without their retries. */
public interface Demand {
    /**
     * An arrival of a request, or only a time at which to look for the next one.
     *
     * @param at ms since the clients started
     * @param requestClass index of the request class; below 0 for no request
     * @param work ms on a core of speed 1
     */
    record Arrival(double at, int requestClass, double work) {
        private static final int NO_REQUEST = -1;

        /** No request, but the rate may have changed by then. */
        static Arrival empty(double at) {
            return new Arrival(at, NO_REQUEST, 0);
        }

        /** Whether no request arrives. */
        boolean isEmpty() {
            return requestClass < 0;
        }
    }

    /**
     * The next arrival after a time.
     *
     * @param afterMillis ms since the clients started
     * @param factor of the current request rate to the baseline
     * @return null if there are no more
     */
    Arrival nextArrival(double afterMillis, double factor);
}
