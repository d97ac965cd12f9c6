/**
 * Stands in for endpoints, proxies' routing tables and clients' retries, without sockets or a
 * clock: the simulated parties on sockets (package loopback) and the emulator share these models.
 * All times are milliseconds as double, on the caller's clock; no class is thread-safe, each object
 * belongs to one thread.
 */
package sprucelanding.simulation.model;
