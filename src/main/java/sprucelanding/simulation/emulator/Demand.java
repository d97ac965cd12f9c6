package sprucelanding.simulation.emulator;

/** Sequence of the requests of one proxy's clients, without retries. */
public interface Demand {
    /**
     * Arrival of a request, or a time without a request at which to ask for the next arrival.
     *
     * @param at time of the arrival, in ms since the clients started
     * @param requestClass index of the request class; negative for no request
     * @param work work of the request, in ms on a core of speed 1
     */
    record Arrival(double at, int requestClass, double work) {
        private static final int NO_REQUEST = -1;

        /**
         * Returns an arrival without a request, at a time by which the request rate may have
         * changed.
         */
        static Arrival empty(double at) {
            return new Arrival(at, NO_REQUEST, 0);
        }

        /** Returns whether no request arrives. */
        boolean isEmpty() {
            return requestClass < 0;
        }
    }

    /**
     * Returns the next arrival after a time.
     *
     * @param afterMillis ms since the clients started
     * @param factor ratio of the current request rate to the baseline rate
     * @return the next arrival; null if there are no more requests
     */
    Arrival nextArrival(double afterMillis, double factor);
}
