/**
 * Decides, among governors that share a fleet, which of them live, which one owns which proxy, how
 * many each takes, and what is believed of what the others know: membership from lossy messages,
 * and leases promised by a majority, with epochs that only grow. No I/O and no clock of its own;
 * Sharing is how it is called.
 */
package sprucelanding.control.membership;
