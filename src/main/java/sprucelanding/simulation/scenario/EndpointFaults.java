package sprucelanding.simulation.scenario;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/** The faults of endpoints and of discovery. Times are in milliseconds. */
final class EndpointFaults {
    /** Time from the start of an endpoint until the start is announced to discovery. */
    private static final double START_ANNOUNCEMENT_DELAY_MILLIS = 20;

    private static final double AGEING_STEP_MILLIS = 1000;
    private static final double AGED_RESTART_DELAY_MILLIS = 2000;
    private static final int FLAP_COUNT = 3;
    private static final FaultTiming.PulseLength PAUSE_PULSE =
            new FaultTiming.PulseLength(200, 800);
    private static final FaultTiming.PulseLength CONTENTION_PULSE =
            new FaultTiming.PulseLength(2000, 2000);

    private final Scenario scenario;
    private final FaultTarget target;
    private final FaultSelection selection;
    private final FaultTiming timing;

    EndpointFaults(
            Scenario scenario, FaultTarget target, FaultSelection selection, FaultTiming timing) {
        this.scenario = scenario;
        this.target = target;
        this.selection = selection;
        this.timing = timing;
    }

    void register(FaultActions actions) {
        registerProcessFaults(actions);
        registerServiceFaults(actions);
        registerDiscoveryFaults(actions);
    }

    private void registerProcessFaults(FaultActions actions) {
        actions.register(
                FaultKind.ENDPOINT_CRASH,
                fault -> crash(selection.endpoints(fault), fault.lasts()));
        actions.register(
                FaultKind.ZONE_CRASH,
                fault -> crash(selection.endpointsOfZone(fault), fault.lasts()));
        actions.register(
                FaultKind.ENDPOINT_FLAPPING, fault -> flap(selection.endpoints(fault), fault, 0));
        actions.register(
                FaultKind.ENDPOINT_AGEING, fault -> age(selection.endpoints(fault), fault));
        actions.register(FaultKind.ENDPOINT_REMOVAL, this::remove);
        actions.register(
                FaultKind.ENDPOINT_PAUSES,
                fault ->
                        timing.pulse(
                                fault,
                                selection.endpoints(fault),
                                PAUSE_PULSE,
                                endpoint -> target.setEndpointPaused(endpoint, true),
                                endpoint -> target.setEndpointPaused(endpoint, false)));
        actions.register(
                FaultKind.ENDPOINT_CONTENTION,
                fault ->
                        timing.pulse(
                                fault,
                                selection.endpoints(fault),
                                CONTENTION_PULSE,
                                endpoint -> target.setEndpointOccupiedShare(endpoint, fault.size()),
                                endpoint -> target.setEndpointOccupiedShare(endpoint, 0)));
    }

    private void registerServiceFaults(FaultActions actions) {
        actions.register(FaultKind.ENDPOINT_HANG, this::hang);
        actions.register(FaultKind.ENDPOINT_SLOWDOWN, this::slowDown);
        actions.register(FaultKind.ENDPOINT_ERRORS, this::failRequests);
        actions.register(FaultKind.ENDPOINT_CONNECTION_LIMIT, this::limitConnections);
        actions.register(FaultKind.ENDPOINT_UNREACHABLE_FROM_ZONE, this::ignoreZone);
    }

    private void registerDiscoveryFaults(FaultActions actions) {
        actions.register(FaultKind.DISCOVERY_WRONG_LIST, this::listAsGone);
        actions.register(FaultKind.DISCOVERY_DELAY, this::delayDiscovery);
        actions.register(FaultKind.DISCOVERY_RESTART, fault -> target.restartDiscovery());
    }

    private void hang(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.endpoints(fault),
                endpoint -> target.setEndpointHanging(endpoint, true),
                endpoint -> target.setEndpointHanging(endpoint, false));
    }

    private void slowDown(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.endpoints(fault),
                endpoint -> target.setEndpointSlowdown(endpoint, fault.size()),
                endpoint -> target.setEndpointSlowdown(endpoint, 1));
    }

    private void failRequests(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.endpoints(fault),
                endpoint -> target.setEndpointFailureShare(endpoint, Math.min(1, fault.size())),
                endpoint -> target.setEndpointFailureShare(endpoint, 0));
    }

    private void limitConnections(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.endpoints(fault),
                endpoint -> target.limitEndpointConnections(endpoint, (int) fault.size()),
                endpoint ->
                        target.limitEndpointConnections(
                                endpoint, FaultTarget.UNLIMITED_CONNECTIONS));
    }

    private void ignoreZone(Scenario.Fault fault) {
        int zone = selection.zone(fault).orElse(FaultTarget.NO_ZONE);
        timing.during(
                fault,
                selection.endpoints(fault),
                endpoint -> target.setEndpointUnreachableFrom(endpoint, zone),
                endpoint -> target.setEndpointUnreachableFrom(endpoint, FaultTarget.NO_ZONE));
    }

    private void listAsGone(Scenario.Fault fault) {
        List<Integer> dropped = selection.endpoints(fault);
        target.announceToDiscovery(dropped, ListedEndpoint.State.GONE, 0);
        target.schedule(
                fault.lasts(),
                () ->
                        target.announceToDiscovery(
                                dropped.stream().filter(target::isEndpointUp).toList(),
                                ListedEndpoint.State.READY,
                                0));
    }

    private void delayDiscovery(Scenario.Fault fault) {
        target.delayDiscovery(fault.size() * 1000);
        target.schedule(fault.lasts(), () -> target.delayDiscovery(0));
    }

    private void remove(Scenario.Fault fault) {
        List<Integer> removed = selection.endpoints(fault);
        target.announceToDiscovery(removed, ListedEndpoint.State.DRAINING, 0);
        target.schedule(fault.lasts(), () -> stopAndUnlist(removed));
    }

    private void stopAndUnlist(List<Integer> endpoints) {
        endpoints.forEach(target::crashEndpoint);
        target.announceToDiscovery(
                endpoints, ListedEndpoint.State.GONE, scenario.roster().notices());
    }

    private void crash(List<Integer> endpoints, double durationMillis) {
        stopAndUnlist(endpoints);
        target.schedule(durationMillis, () -> restart(endpoints));
    }

    /**
     * Starts endpoints, and announces them to discovery after a short delay. The endpoints have to
     * warm up. An endpoint that starts before discovery has listed its crash is listed again.
     */
    private void restart(List<Integer> endpoints) {
        endpoints.forEach(target::startEndpoint);
        target.schedule(
                START_ANNOUNCEMENT_DELAY_MILLIS,
                () ->
                        target.announceToDiscovery(
                                endpoints, ListedEndpoint.State.READY, scenario.roster().adds()));
    }

    private void flap(List<Integer> endpoints, Scenario.Fault fault, int completedFlaps) {
        if (completedFlaps < FLAP_COUNT) {
            crash(endpoints, fault.lasts() / (2 * FLAP_COUNT));
            target.schedule(
                    fault.lasts() / FLAP_COUNT, () -> flap(endpoints, fault, completedFlaps + 1));
        }
    }

    private void age(List<Integer> endpoints, Scenario.Fault fault) {
        for (double at = 0; at < fault.lasts(); at += AGEING_STEP_MILLIS) {
            double factor = 1 + (fault.size() - 1) * at / Math.max(1, fault.lasts());
            target.schedule(
                    at,
                    () ->
                            endpoints.forEach(
                                    endpoint -> target.setEndpointSlowdown(endpoint, factor)));
        }
        target.schedule(fault.lasts(), () -> crash(endpoints, AGED_RESTART_DELAY_MILLIS));
    }
}
