/**
 * Decides, among governors that share a fleet, which of them live and which one owns what: membership from lossy messages, and
 * leases granted by a majority, with epochs that only grow. No I/O and no clock of its own.
 */
package sprucelanding.fleet;
