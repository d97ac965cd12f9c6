/**
 * Decides which load reports of proxies are believed, and sums them up for the controller period by
 * period. {@link sprucelanding.control.loadreport.LoadReportAggregator} is what a host calls. No
 * I/O, no clock and no thread of its own.
 */
package sprucelanding.control.loadreport;
