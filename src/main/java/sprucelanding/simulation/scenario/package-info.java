/**
 * Stands in for a fleet in service. The package plays a scenario of faults with simulated members
 * and real governors over loopback sockets, and checks the rules against the events on the sockets.
 * The package also contains the benchmarks that need such a fleet. All figures are those of a
 * simulated fleet.
 *
 * <p>{@link sprucelanding.simulation.scenario.ScenarioRunner} plays a {@link
 * sprucelanding.simulation.scenario.Scenario}; {@link
 * sprucelanding.simulation.scenario.FaultInjector} injects its faults through {@link
 * sprucelanding.simulation.scenario.FaultTarget}, which the emulator implements as well. Members
 * run on the event loops of {@code FleetLoops}. Each member is used on only one loop.
 */
package sprucelanding.simulation.scenario;
