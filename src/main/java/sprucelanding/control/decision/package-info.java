/**
 * Decides what the routing tables of proxies must contain by when, without I/O and without a clock
 * of its own: the caller passes the current time. Proxies are identified by their number, endpoints
 * by the identifier that the caller uses for them. Times are milliseconds on the caller's monotonic
 * clock.
 */
package sprucelanding.control.decision;
