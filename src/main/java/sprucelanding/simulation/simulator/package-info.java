/**
 * Connects routing controllers to the operators' simulator: {@link
 * sprucelanding.simulation.simulator.SimulatorAdapter} hosts them and speaks the simulator's line
 * protocol on two streams.
 *
 * <p>The simulator sends batches, each with the time, endpoint lists and events. A batch is
 * answered by one reply, which holds the commands that the controllers gave. Lines consist of
 * fields that are set apart by tabs; the words of the protocol are in {@code SimulatorProtocol}.
 * Times are microseconds in the protocol and milliseconds here.
 *
 * <p>All runs on the thread that calls {@code run}.
 */
package sprucelanding.simulation.simulator;
