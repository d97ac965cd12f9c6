package sprucelanding.control.membership;

/**
 * The times on which the safety of leases rests; the same at all governors.
 *
 * @param leaseMillis how long a grant lasts after it was asked for
 * @param maxClockDrift the most that the paces of two clocks differ, as a fraction
 * @param quarantineMillis how long after its start a voter grants nothing: a lease and its drift,
 *     or leases are not safe
 */
record LeaseTiming(double leaseMillis, double maxClockDrift, double quarantineMillis) {}
