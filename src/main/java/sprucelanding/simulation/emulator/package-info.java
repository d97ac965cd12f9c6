/**
 * Stands in for a whole fleet on virtual time: clients, plain proxies, endpoints, the network and
 * discovery, around the very core that governs in service. Everything runs on the caller's thread;
 * the same scenario and settings give the same run, to the last bit. Times are ms as double.
 *
 * <p>{@link sprucelanding.simulation.emulator.Emulation} plays scenarios, {@link
 * sprucelanding.simulation.emulator.ScenarioReplay} captured runs; {@code EmulatedFleet} builds the
 * parties, {@code VirtualClock} orders what they do.
 */
package sprucelanding.simulation.emulator;
