package sprucelanding.simulation.scenario;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * An injector of a scenario's faults into a fleet. With the same seed, the faults affect the same
 * members in a fleet on sockets and in an emulated fleet. Not thread-safe.
 */
public final class FaultInjector {
    private final Map<FaultKind, Consumer<Scenario.Fault>> actions = new EnumMap<>(FaultKind.class);

    /**
     * Creates an injector.
     *
     * @param random source of the draws that select the members affected by a fault, made when the
     *     fault is injected
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
     * Starts a fault now and schedules its end.
     *
     * @throws IllegalStateException if the scenario names an unknown kind of fault
     */
    public void inject(Scenario.Fault fault) {
        actions.get(FaultKind.of(fault.what())).accept(fault);
    }
}
