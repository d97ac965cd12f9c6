/**
 * Stands in for a whole fleet on virtual time: clients, plain proxies, endpoints, the network and
 * service discovery. The governors run the same core as in service. Everything runs on the caller's
 * thread. The same scenario and settings give exactly the same run. Times are ms as double.
 *
 * <p>{@link sprucelanding.simulation.emulator.Emulation} plays scenarios. {@link
 * sprucelanding.simulation.emulator.ScenarioReplay} replays captured runs. {@code EmulatedFleet}
 * builds the parties. {@code VirtualClock} runs their tasks in order of time.
 */
package sprucelanding.simulation.emulator;
