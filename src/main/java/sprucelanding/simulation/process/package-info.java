/**
 * Stands in for the service manager of a fleet: runs this program in separate processes, which can
 * be killed, paused and ended by signals.
 */
package sprucelanding.simulation.process;
