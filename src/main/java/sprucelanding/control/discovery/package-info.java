/**
 * Keeps the list of replicas as the roster told it: checked entry by entry, versions that only
 * grow, and the text that is kept for a restart. No I/O: the governor's link reads and writes.
 */
package sprucelanding.control.discovery;
