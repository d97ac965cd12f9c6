/**
 * Stands in for a fleet in service: plays a scenario of faults on simulated members and real
 * governors over loopback sockets, and checks the rules on what crossed them; and the measurements
 * that need such a fleet. All figures are of a simulated fleet.
 *
 * <p>{@link sprucelanding.simulation.scenario.ScenarioRunner} plays a {@link
 * sprucelanding.simulation.scenario.Scenario}; {@link
 * sprucelanding.simulation.scenario.FaultInjector} injects its faults through {@link
 * sprucelanding.simulation.scenario.FaultTarget}, which the emulator implements, too. Members run
 * on the event loops of {@code FleetLoops}, each on its own loop only.
 */
package sprucelanding.simulation.scenario;
