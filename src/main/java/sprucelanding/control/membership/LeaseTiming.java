package sprucelanding.control.membership;

/**
 * The durations on which the safety of leases depends. They are the same at all governors.
 *
 * @param leaseMillis how long a grant is valid, in ms from the time at which it was requested
 * @param maxClockDrift the largest relative difference between the rates of two clocks, as a
 *     fraction
 * @param quarantineMillis time in ms after the start of a voter during which the voter grants
 *     nothing. Leases are safe only if the quarantine is at least a lease plus the clock drift
 *     during a lease.
 */
record LeaseTiming(double leaseMillis, double maxClockDrift, double quarantineMillis) {}
