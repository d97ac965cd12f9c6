/**
 * Stands in for the systems that a governor communicates with in production, on loopback sockets:
 * endpoints, plain proxies that use xDS, devices that are configured by NETCONF edits, clients,
 * service discovery, and the network between zones. Faults can be set on each simulated party while
 * the party runs. The simulated parties are written from public specifications (HTTP/1.1, ORCA load
 * reports, xDS, NETCONF, server-sent events). All measurements taken with this package are
 * measurements of a simulated fleet.
 *
 * <p>Threading: every party belongs to one event loop. Only the thread of that loop may call the
 * party, unless the documentation of a method says otherwise. The threads of gRPC and of the SSH
 * library pass their events on to that loop.
 */
package sprucelanding.simulation.loopback;
