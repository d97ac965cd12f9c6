package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * Does a script's troubles to a fleet; the same seed strikes the same ones, on sockets and
 * emulated.
 */
public final class FaultInjector {
    private static final double START_ANNOUNCEMENT_DELAY =
            20; // ms until a process that began is told to the roster
    private static final double STALL_INTERVAL_MILLIS = 3000;
    private static final double MIN_STOP_MILLIS = 4000; // ms that a planned stop may take
    private final Scenario scenario;
    private final FaultTarget target;
    private final SplittableRandom random;

    public FaultInjector(Scenario scenario, FaultTarget target, SplittableRandom random) {
        this.scenario = scenario;
        this.target = target;
        this.random = random;
    }

    private List<Integer> choose(int count, IntPredicate eligible, double part) {
        List<Integer> chosen = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (eligible.test(i)) {
                chosen.add(i);
            }
        }
        Collections.shuffle(chosen, new Random(random.nextLong()));
        return List.copyOf(
                chosen.subList(
                        0,
                        (int)
                                Math.min(
                                        chosen.size(),
                                        Math.max(1, Math.round(part * chosen.size())))));
    }

    private int zone(Scenario.Fault fault) {
        return fault.zone() == null ? -1 : scenario.zones().indexOf(fault.zone());
    }

    private List<Integer> affectedEndpoints(Scenario.Fault fault) {
        int zone = zone(fault);
        return choose(
                target.endpointCount(),
                i -> zone < 0 || target.endpointZone(i) == zone,
                fault.part());
    }

    private List<Integer> affectedProxies(Scenario.Fault fault) {
        int zone = zone(fault);
        return choose(
                target.proxyCount(), i -> zone < 0 || target.proxyZone(i) == zone, fault.part());
    }

    private List<Integer> affectedDevices(Scenario.Fault fault) {
        return choose(target.deviceCount(), i -> true, fault.part());
    }

    private static void forEach(List<Integer> targets, IntConsumer action) {
        targets.forEach(action::accept);
    }

    public void inject(Scenario.Fault fault) {
        switch (fault.what()) {
            case "crash" -> crash(affectedEndpoints(fault), fault.lasts());
            case "hang" ->
                    during(
                            fault,
                            affectedEndpoints(fault),
                            endpoint -> target.setEndpointHanging(endpoint, true),
                            endpoint -> target.setEndpointHanging(endpoint, false));
            case "slow" ->
                    during(
                            fault,
                            affectedEndpoints(fault),
                            endpoint -> target.setEndpointSlowdown(endpoint, fault.size()),
                            endpoint -> target.setEndpointSlowdown(endpoint, 1));
            case "errors" ->
                    during(
                            fault,
                            affectedEndpoints(fault),
                            endpoint ->
                                    target.setEndpointFailureShare(
                                            endpoint, Math.min(1, fault.size())),
                            endpoint -> target.setEndpointFailureShare(endpoint, 0));
            case "pauses" ->
                    pulse(
                            affectedEndpoints(fault),
                            fault,
                            200,
                            800,
                            endpoint -> target.setEndpointPaused(endpoint, true),
                            endpoint -> target.setEndpointPaused(endpoint, false));
            case "neighbour" ->
                    pulse(
                            affectedEndpoints(fault),
                            fault,
                            2000,
                            2000,
                            endpoint -> target.setEndpointOccupiedShare(endpoint, fault.size()),
                            endpoint -> target.setEndpointOccupiedShare(endpoint, 0));
            case "ageing" -> age(affectedEndpoints(fault), fault);
            case "connections" ->
                    during(
                            fault,
                            affectedEndpoints(fault),
                            endpoint ->
                                    target.limitEndpointConnections(endpoint, (int) fault.size()),
                            endpoint -> target.limitEndpointConnections(endpoint, 0));
            case "oneSided" ->
                    during(
                            fault,
                            affectedEndpoints(fault),
                            endpoint -> target.setEndpointUnreachableFrom(endpoint, zone(fault)),
                            endpoint -> target.setEndpointUnreachableFrom(endpoint, -1));
            case "flapping" -> flap(affectedEndpoints(fault), fault, 0);
            case "wrongList" -> {
                List<Integer> dropped = affectedEndpoints(fault);
                target.announceToDiscovery(dropped, ListedEndpoint.State.GONE, 0);
                target.schedule(
                        fault.lasts(),
                        () ->
                                target.announceToDiscovery(
                                        dropped.stream().filter(target::isEndpointUp).toList(),
                                        ListedEndpoint.State.READY,
                                        0));
            }
            case "lateList" -> {
                target.delayDiscovery(fault.size() * 1000);
                target.schedule(fault.lasts(), () -> target.delayDiscovery(0));
            }
            case "listGone" -> target.restartDiscovery();
            case "zoneCut" -> {
                target.setZoneCut(zone(fault), true);
                target.schedule(fault.lasts(), () -> target.setZoneCut(zone(fault), false));
            }
            case "zoneLoss" -> {
                List<Integer> zone = new ArrayList<>();
                for (int endpoint = 0; endpoint < target.endpointCount(); endpoint++) {
                    if (target.endpointZone(endpoint) == zone(fault)) {
                        zone.add(endpoint);
                    }
                }
                crash(zone, fault.lasts());
            }
            case "burst" -> {
                target.setRequestRateFactor(fault.size());
                target.schedule(fault.lasts(), () -> target.setRequestRateFactor(1));
            }
            case "shrink" -> {
                List<Integer> leave = affectedEndpoints(fault);
                target.announceToDiscovery(leave, ListedEndpoint.State.DRAINING, 0);
                target.schedule(
                        fault.lasts(),
                        () -> {
                            forEach(leave, target::crashEndpoint);
                            target.announceToDiscovery(
                                    leave, ListedEndpoint.State.GONE, scenario.roster().notices());
                        });
            }
            case "proxyCrash" ->
                    during(fault, affectedProxies(fault), target::crashProxy, target::startProxy);
            case "alone" ->
                    during(
                            fault,
                            affectedProxies(fault),
                            proxy -> target.setProxyIsolated(proxy, true),
                            proxy -> target.setProxyIsolated(proxy, false));
            case "governorCrash" ->
                    during(
                            fault,
                            reportInjected(fault, "kill"),
                            target::killGovernor,
                            target::startGovernor);
            case "governorPause" ->
                    during(
                            fault,
                            reportInjected(fault, "pause"),
                            governor -> target.setGovernorPaused(governor, true),
                            governor -> target.setGovernorPaused(governor, false));
            case "governorStop" ->
                    during(
                            Math.max(MIN_STOP_MILLIS, fault.lasts()),
                            reportInjected(fault, "stop"),
                            target::stopGovernor,
                            target::startGovernor);
            case "governorCut" ->
                    during(
                            fault,
                            reportInjected(fault, "cut"),
                            governor -> target.setGovernorCut(governor, true),
                            governor -> target.setGovernorCut(governor, false));
            case "peersCut" ->
                    during(
                            fault,
                            reportInjected(fault, "alone"),
                            governor -> target.setPeersCut(governor, true),
                            governor -> target.setPeersCut(governor, false));
            case "peersLose" -> {
                target.setPeerLossShare(Math.min(1, fault.size()));
                target.schedule(fault.lasts(), () -> target.setPeerLossShare(0));
            }
            case "governorStall" -> {
                for (double at = 0; at < fault.lasts(); at += STALL_INTERVAL_MILLIS) {
                    target.schedule(
                            at,
                            () ->
                                    during(
                                            fault.size() * 1000,
                                            affectedGovernors(fault),
                                            governor -> target.setGovernorPaused(governor, true),
                                            governor -> target.setGovernorPaused(governor, false)));
                }
            }
            case "lockHeld" ->
                    forEach(
                            affectedDevices(fault),
                            device -> target.holdDeviceLock(device, fault.lasts()));
            case "mute" ->
                    forEach(
                            affectedDevices(fault),
                            device -> target.muteDevice(device, (int) fault.size()));
            case "drift" -> forEach(affectedDevices(fault), target::driftDevice);
            case "midUpdate" -> {
                if (target.governorCount() > 0) {
                    target.breakConnectionAfter(
                            random.nextInt(target.governorCount()),
                            random.nextInt(scenario.zones().size()),
                            (int) fault.size());
                }
            }
            case "lateAck" ->
                    during(
                            fault,
                            affectedProxies(fault),
                            proxy -> target.delayProxyAcknowledgements(proxy, fault.size() * 1000),
                            proxy -> target.delayProxyAcknowledgements(proxy, 0));
            case "reject" ->
                    forEach(
                            affectedProxies(fault),
                            proxy -> target.rejectProxyMessages(proxy, (int) fault.size()));
            case "readsNothing" ->
                    during(
                            fault,
                            affectedProxies(fault),
                            proxy -> target.setProxyReadStopped(proxy, true),
                            proxy -> target.setProxyReadStopped(proxy, false));
            default -> throw new IllegalStateException(fault.what());
        }
    }

    private List<Integer> reportInjected(Scenario.Fault fault, String cause) {
        List<Integer> chosen = affectedGovernors(fault);
        chosen.forEach(governor -> target.faultInjected(governor, cause));
        return chosen;
    }

    private List<Integer> affectedGovernors(Scenario.Fault fault) {
        int zone = zone(fault);
        List<Integer> chosen =
                choose(
                        target.governorCount(),
                        governor -> zone < 0 || target.governorZone(governor) == zone,
                        1);
        int count = (int) Math.max(1, Math.round(fault.part() * target.governorCount()));
        return chosen.subList(0, Math.min(count, chosen.size()));
    }

    private void crash(List<Integer> endpoints, double durationMillis) {
        forEach(endpoints, target::crashEndpoint);
        target.announceToDiscovery(
                endpoints, ListedEndpoint.State.GONE, scenario.roster().notices());
        target.schedule(
                durationMillis,
                () -> {
                    // They come up cold, and the list follows; one that started before its death
                    // was listed is listed anew.
                    forEach(endpoints, target::startEndpoint);
                    target.schedule(
                            START_ANNOUNCEMENT_DELAY,
                            () ->
                                    target.announceToDiscovery(
                                            endpoints,
                                            ListedEndpoint.State.READY,
                                            scenario.roster().adds()));
                });
    }

    private void flap(List<Integer> targets, Scenario.Fault fault, int count) {
        if (count < 3) {
            crash(targets, fault.lasts() / 6);
            target.schedule(fault.lasts() / 3, () -> flap(targets, fault, count + 1));
        }
    }

    private void during(
            Scenario.Fault fault, List<Integer> targets, IntConsumer begin, IntConsumer end) {
        during(fault.lasts(), targets, begin, end);
    }

    private void during(
            double durationMillis, List<Integer> targets, IntConsumer begin, IntConsumer end) {
        forEach(targets, begin);
        target.schedule(durationMillis, () -> forEach(targets, end));
    }

    private void pulse(
            List<Integer> targets,
            Scenario.Fault fault,
            double activeMillis,
            double pauseMillis,
            IntConsumer begin,
            IntConsumer end) {
        for (double at = 0; at < fault.lasts(); at += activeMillis + pauseMillis) {
            target.schedule(at, () -> forEach(targets, begin));
            target.schedule(at + activeMillis, () -> forEach(targets, end));
        }
    }

    private void age(List<Integer> targets, Scenario.Fault fault) {
        for (double at = 0; at < fault.lasts(); at += 1000) {
            double factor = 1 + (fault.size() - 1) * at / Math.max(1, fault.lasts());
            target.schedule(
                    at,
                    () ->
                            forEach(
                                    targets,
                                    endpoint -> target.setEndpointSlowdown(endpoint, factor)));
        }
        target.schedule(fault.lasts(), () -> crash(targets, 2000));
    }
}
