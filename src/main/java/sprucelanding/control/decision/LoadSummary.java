package sprucelanding.control.decision;

/**
 * Load of all available endpoints as determined in one periodic update. An endpoint is
 * <em>reporting</em> if it is not ejected and there is evidence of requests that it completed.
 *
 * @param load mean of the last reported loads, weighted by the traffic of the endpoints; 1 is full
 *     load
 * @param responseTime mean response time, ms
 * @param busyTime decayed busy time of all reporting endpoints, ms
 * @param completed decayed number of requests that the reporting endpoints completed
 * @param reporting number of reporting endpoints
 */
record LoadSummary(
        double load, double responseTime, double busyTime, double completed, int reporting) {}
