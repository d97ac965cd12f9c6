/**
 * Decides what of the proxies' load reports is believed, and sums it up for the module period by
 * period. No I/O and no clock of its own.
 */
package sprucelanding.control.loadreport;
