package sprucelanding.simulation.scenario;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Injects the faults of a scenario into a fleet. The same seed affects the same members, on sockets
 * and emulated. Not safe for use by several threads.
 */
public final class FaultInjector {
    private final Map<FaultKind, Consumer<Scenario.Fault>> actions = new EnumMap<>(FaultKind.class);

    /**
     * Creates an injector.
     *
     * @param random draws the members that a fault affects, when it is injected
     */
    public FaultInjector(Scenario scenario, FaultTarget target, SplittableRandom random) {
        FaultSelection selection = new FaultSelection(scenario, target, random);
        FaultTiming timing = new FaultTiming(target);
        new EndpointFaults(scenario, target, selection, timing).register(actions::put);
        new ProxyFaults(target, selection, timing).register(actions::put);
        new GovernorFaults(scenario, target, selection, timing).register(actions::put);
        actions.put(
                FaultKind.REQUEST_BURST,
                fault -> {
                    target.setRequestRateFactor(fault.size());
                    target.schedule(fault.lasts(), () -> target.setRequestRateFactor(1));
                });
    }

    /**
     * Injects a fault now and schedules its end.
     *
     * @throws IllegalStateException if the scenario names a kind of fault that there isn't
     */
    public void inject(Scenario.Fault fault) {
        actions.get(FaultKind.of(fault.what())).accept(fault);
    }
}
