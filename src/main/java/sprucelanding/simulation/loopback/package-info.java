/**
 * Stands in for what a governor meets in service, on loopback sockets: endpoints, plain proxies
 * that speak xDS, devices that take NETCONF edits, clients, service discovery, and the network
 * between zones; each with faults that can be set while it runs. Written from public specifications
 * (HTTP/1.1, ORCA load reports, xDS, NETCONF, server-sent events). All measurements taken with them
 * are of a simulated fleet.
 *
 * <p>Threading: every party belongs to one event loop, whose thread alone may call it unless its
 * documentation says otherwise. The threads of gRPC and of the SSH library hand over to that loop.
 */
package sprucelanding.simulation.loopback;
