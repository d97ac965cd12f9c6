/**
 * Stands in for what a governor meets: replicas, plain proxies that speak xDS, clients, the roster,
 * and the links between zones; each with faults that can be told while it runs. Written from public
 * specifications (HTTP/1.1, ORCA load reports, xDS, server-sent events), on loopback addresses
 * only. All figures taken from them are of a simulated fleet.
 */
package sprucelanding.simulation.loopback;
