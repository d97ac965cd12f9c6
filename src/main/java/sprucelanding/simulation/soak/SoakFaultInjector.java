package sprucelanding.simulation.soak;

import java.nio.ByteBuffer;
import java.util.List;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * An injector of the faults of a plan into a fleet. An injector is used only on the soak's event
 * loop. Times are in milliseconds.
 */
final class SoakFaultInjector {
    /** Time from the start of draining until an endpoint is gone. */
    private static final double DRAIN_TIME_MS = 4000;

    /** Time from the start of draining until the replacement is ready. */
    private static final double REPLACEMENT_DELAY_MS = 700;

    /** Time from the loss of an endpoint until discovery lists it as gone. */
    private static final double NOTICE_MS = 1800;

    private final EventLoop loop;
    private final SoakFleet fleet;

    SoakFaultInjector(EventLoop loop, SoakFleet fleet) {
        this.loop = loop;
        this.fleet = fleet;
    }

    /** Schedules all faults. */
    void schedule(List<SoakFault> faults) {
        for (SoakFault fault : faults) {
            loop.schedule(fault.at(), () -> inject(fault));
        }
    }

    private void inject(SoakFault fault) {
        if (fault instanceof SoakFault.Kill kill) {
            kill.governors().forEach(number -> governor(number).kill(kill.downtime()));
        } else if (fault instanceof SoakFault.Restart restart) {
            governor(restart.governor()).restart(restart.downtime());
        } else if (fault instanceof SoakFault.Pause pause) {
            governor(pause.governor()).pause(pause.length());
        } else if (fault instanceof SoakFault.Replace replacement) {
            replace(replacement.count());
        } else if (fault instanceof SoakFault.ResetStreams reset) {
            fleet.drawProxies(reset.share()).forEach(FleetProxy::resetStream);
        } else if (fault instanceof SoakFault.SilenceStreams silence) {
            fleet.drawProxies(silence.share()).forEach(FleetProxy::silenceStream);
        } else if (fault instanceof SoakFault.SilenceDiscovery silence) {
            silenceDiscovery(governor(silence.governor()).discovery(), silence.length());
        } else if (fault instanceof SoakFault.ResetDiscovery reset) {
            governor(reset.governor()).discovery().reset();
        } else if (fault instanceof SoakFault.LoseAcknowledgements loss) {
            fleet.setAcknowledgementLoss(loss.probability());
            loop.schedule(loss.length(), () -> fleet.setAcknowledgementLoss(0));
        } else if (fault instanceof SoakFault.OpenUnjoinedConnections unjoined) {
            openUnjoinedConnections(governor(unjoined.governor()), unjoined.count());
        } else {
            injectIntoZone(fault);
        }
    }

    private void injectIntoZone(SoakFault fault) {
        if (fault instanceof SoakFault.LoseZone loss) {
            List<SoakEndpoints.Change> lost = fleet.endpoints().readyIn(loss.zone());
            loop.schedule(NOTICE_MS, () -> changeState(lost, SoakEndpoints.State.GONE));
            loop.schedule(loss.downtime() + NOTICE_MS, () -> returnAsNewProcesses(lost));
        } else if (fault instanceof SoakFault.DrainZone drain) {
            List<SoakEndpoints.Change> leaving = fleet.endpoints().readyIn(drain.zone());
            changeState(leaving, SoakEndpoints.State.DRAINING);
            loop.schedule(DRAIN_TIME_MS, () -> changeState(leaving, SoakEndpoints.State.GONE));
            loop.schedule(drain.downtime() + DRAIN_TIME_MS, () -> returnAsNewProcesses(leaving));
        } else if (fault instanceof SoakFault.CutOffZone cut) {
            fleet.setCutOff(cut.zone(), true);
            loop.schedule(cut.length(), () -> fleet.setCutOff(cut.zone(), false));
        }
    }

    private void returnAsNewProcesses(List<SoakEndpoints.Change> returning) {
        for (SoakEndpoints.Change endpoint : returning) {
            fleet.endpoints()
                    .restart(endpoint.uid(), System.currentTimeMillis(), EventLoop.nowMillis());
        }
        fleet.publishEndpoints();
    }

    private SoakGovernor governor(int number) {
        return fleet.governors().get(number);
    }

    private void replace(int count) {
        List<SoakEndpoints.Change> ready = fleet.endpoints().ready();
        List<SoakEndpoints.Change> oldest = ready.subList(0, Math.min(count, ready.size() * 2 / 3));
        changeState(oldest, SoakEndpoints.State.DRAINING);
        loop.schedule(REPLACEMENT_DELAY_MS, () -> addReplacements(oldest));
        loop.schedule(DRAIN_TIME_MS, () -> changeState(oldest, SoakEndpoints.State.GONE));
    }

    private void changeState(List<SoakEndpoints.Change> changed, SoakEndpoints.State state) {
        double now = EventLoop.nowMillis();
        changed.forEach(endpoint -> fleet.endpoints().change(endpoint.uid(), state, now));
        fleet.publishEndpoints();
    }

    private void addReplacements(List<SoakEndpoints.Change> replaced) {
        for (SoakEndpoints.Change endpoint : replaced) {
            fleet.endpoints()
                    .add(endpoint.zone(), System.currentTimeMillis(), EventLoop.nowMillis());
        }
        fleet.publishEndpoints();
    }

    private void silenceDiscovery(DiscoveryServer discovery, double length) {
        discovery.pause();
        loop.schedule(length, discovery::resume);
    }

    private static void openUnjoinedConnections(SoakGovernor governor, int count) {
        for (int i = 0; i < count; i++) {
            governor.connect(new IgnoringListener());
        }
    }

    /** A listener that ignores all input. */
    private static final class IgnoringListener implements TcpConnection.Listener {
        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            // The connection never sends a join message.
        }
    }
}
