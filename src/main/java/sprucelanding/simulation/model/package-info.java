/**
 * How replicas work and how plain proxies pick, without sockets or a clock: the stand-ins on
 * sockets and the emulator go by the same text.
 */
package sprucelanding.simulation.model;
