package sprucelanding.simulation.scenario;

import java.util.List;

/** The faults of governors, and of the network that connects governors, proxies and zones. */
final class GovernorFaults {
    private static final double STALL_INTERVAL_MILLIS = 3000;

    /** Shortest time from a planned stop of a governor to its restart. */
    private static final double MIN_STOP_MILLIS = 4000;

    private final Scenario scenario;
    private final FaultTarget target;
    private final FaultSelection selection;
    private final FaultTiming timing;

    GovernorFaults(
            Scenario scenario, FaultTarget target, FaultSelection selection, FaultTiming timing) {
        this.scenario = scenario;
        this.target = target;
        this.selection = selection;
        this.timing = timing;
    }

    void register(FaultActions actions) {
        actions.register(FaultKind.GOVERNOR_CRASH, this::crash);
        actions.register(FaultKind.GOVERNOR_PAUSE, this::pause);
        actions.register(FaultKind.GOVERNOR_STOP, this::stop);
        actions.register(FaultKind.GOVERNOR_CUT, this::cut);
        actions.register(FaultKind.GOVERNOR_STALL, this::stall);
        actions.register(FaultKind.PEERS_CUT, this::cutPeers);
        actions.register(FaultKind.PEER_LOSS, this::losePeerPackets);
        actions.register(FaultKind.CONNECTION_BREAK, this::breakConnection);
        actions.register(FaultKind.ZONE_CUT, this::cutZone);
    }

    private void crash(Scenario.Fault fault) {
        timing.during(
                fault,
                drawAndRecord(fault, GovernorFault.KILL),
                target::killGovernor,
                target::startGovernor);
    }

    private void pause(Scenario.Fault fault) {
        pause(fault.lasts(), drawAndRecord(fault, GovernorFault.PAUSE));
    }

    private void pause(double durationMillis, List<Integer> governors) {
        timing.during(
                durationMillis,
                governors,
                governor -> target.setGovernorPaused(governor, true),
                governor -> target.setGovernorPaused(governor, false));
    }

    private void stop(Scenario.Fault fault) {
        timing.during(
                Math.max(MIN_STOP_MILLIS, fault.lasts()),
                drawAndRecord(fault, GovernorFault.STOP),
                target::stopGovernor,
                target::startGovernor);
    }

    private void cut(Scenario.Fault fault) {
        timing.during(
                fault,
                drawAndRecord(fault, GovernorFault.CUT),
                governor -> target.setGovernorCut(governor, true),
                governor -> target.setGovernorCut(governor, false));
    }

    private void stall(Scenario.Fault fault) {
        for (double at = 0; at < fault.lasts(); at += STALL_INTERVAL_MILLIS) {
            target.schedule(at, () -> pause(fault.size() * 1000, selection.governors(fault)));
        }
    }

    private void cutPeers(Scenario.Fault fault) {
        timing.during(
                fault,
                drawAndRecord(fault, GovernorFault.PEERS_CUT),
                governor -> target.setPeersCut(governor, true),
                governor -> target.setPeersCut(governor, false));
    }

    private void losePeerPackets(Scenario.Fault fault) {
        target.setPeerLossShare(Math.min(1, fault.size()));
        target.schedule(fault.lasts(), () -> target.setPeerLossShare(0));
    }

    private void breakConnection(Scenario.Fault fault) {
        if (target.governorCount() > 0) {
            int governor = selection.position(target.governorCount());
            int zone = selection.position(scenario.zones().size());
            target.breakConnectionAfter(governor, zone, (int) fault.size());
        }
    }

    private void cutZone(Scenario.Fault fault) {
        int zone = selection.zone(fault).orElse(FaultTarget.NO_ZONE);
        target.setZoneCut(zone, true);
        target.schedule(fault.lasts(), () -> target.setZoneCut(zone, false));
    }

    /** Draws the governors that a fault affects, and records the fault for each of them. */
    private List<Integer> drawAndRecord(Scenario.Fault fault, GovernorFault cause) {
        List<Integer> governors = selection.governors(fault);
        governors.forEach(governor -> target.recordInjectedFault(governor, cause.word()));
        return governors;
    }
}
