/**
 * Stands in for the proxies, the discovery service, the endpoints and the network of the platform
 * around real governor processes on loopback, strikes them with faults drawn from a seed, and
 * checks the rules on what the proxies hold. Everything but the governors runs on one loop. Times
 * are milliseconds on the machine's monotonic clock.
 */
package sprucelanding.simulation.soak;
