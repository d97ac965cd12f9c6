/**
 * Connects routing controllers to the operators' simulator. {@link
 * sprucelanding.simulation.simulator.SimulatorAdapter} hosts the controllers and implements the
 * simulator's line protocol on an input stream and an output stream.
 *
 * <p>The simulator sends batches. Each batch contains the time, endpoint lists and events. The
 * adapter answers each batch with one reply, which contains the commands of the controllers. Lines
 * consist of fields that are separated by tabs. The keywords of the protocol are in {@code
 * SimulatorProtocol}. Times are in microseconds in the protocol and in milliseconds in this
 * package.
 *
 * <p>All code runs on the thread that calls {@code run}.
 */
package sprucelanding.simulation.simulator;
