/**
 * Keeps the list of endpoints as discovery reported it: checked entry by entry, with versions that
 * only grow, and the text that is stored for a restart. No I/O and no thread of its own: the
 * governor's link to discovery reads, and its file stores.
 */
package sprucelanding.control.discovery;
