/**
 * Decides which load reports of proxies are accepted, and passes their totals to the controller
 * once a period. A host calls {@link sprucelanding.control.loadreport.LoadReportAggregator}.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread.
 */
package sprucelanding.control.loadreport;
