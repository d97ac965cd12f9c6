/**
 * Stands in for endpoints, proxies' routing tables and clients' retries, without sockets or a
 * clock. The simulated parties on sockets (package loopback) and the emulator share these models.
 * All times are milliseconds as double, on the caller's clock. The classes are not thread-safe:
 * each object belongs to one thread.
 */
package sprucelanding.simulation.model;
