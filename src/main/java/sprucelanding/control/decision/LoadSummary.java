package sprucelanding.control.decision;

/**
 * What one periodic update found of the load of all available endpoints.
 *
 * @param load mean load as last reported, by the traffic that endpoints get; 1 is full
 * @param responseTime mean response time, ms
 * @param busyTime sum over the endpoints that have completed requests and are in service, ms
 * @param completed requests that these have completed
 * @param reporting how many these are
 */
record LoadSummary(
        double load, double responseTime, double busyTime, double completed, int reporting) {}
