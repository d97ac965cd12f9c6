package sprucelanding.simulation.scenario;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedEndpoint;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.process.JavaProcess;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A target that injects faults into a fleet on loopback. All methods run on the loop of discovery.
 * Each method forwards its action to the loop of the affected member.
 */
final class LoopbackFaultTarget implements FaultTarget {
    private final LoopbackFleet fleet;
    private final GovernorCluster governors;
    private final EventTrace trace;

    LoopbackFaultTarget(LoopbackFleet fleet, EventTrace trace) {
        this.fleet = fleet;
        this.governors = fleet.governors();
        this.trace = trace;
    }

    @Override
    public int endpointCount() {
        return fleet.endpoints().size();
    }

    @Override
    public int proxyCount() {
        return fleet.proxies().size();
    }

    @Override
    public int deviceCount() {
        return fleet.deviceCount();
    }

    @Override
    public int governorCount() {
        return governors.processes().size();
    }

    @Override
    public int endpointZone(int endpoint) {
        return fleet.endpoints().get(endpoint).zone;
    }

    @Override
    public int proxyZone(int proxy) {
        return fleet.proxies().get(proxy).zone;
    }

    @Override
    public int governorZone(int governor) {
        return governors.processes().get(governor).zone();
    }

    @Override
    public void schedule(double delayMillis, Runnable action) {
        fleet.loops().discovery().schedule(delayMillis, action);
    }

    @Override
    public void crashEndpoint(int endpoint) {
        fleet.onEndpoint(endpoint, SimulatedEndpoint::crash);
    }

    @Override
    public void startEndpoint(int endpoint) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.start(true));
    }

    @Override
    public boolean isEndpointUp(int endpoint) {
        return fleet.endpoints().get(endpoint).isUp();
    }

    @Override
    public void setEndpointHanging(int endpoint, boolean active) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setHung(active));
    }

    @Override
    public void setEndpointSlowdown(int endpoint, double factor) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setSlowdown(factor));
    }

    @Override
    public void setEndpointFailureShare(int endpoint, double share) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setFailureShare(share));
    }

    @Override
    public void setEndpointPaused(int endpoint, boolean active) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setPaused(active));
    }

    @Override
    public void setEndpointOccupiedShare(int endpoint, double share) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setStolenShare(share));
    }

    @Override
    public void limitEndpointConnections(int endpoint, int limit) {
        fleet.onEndpoint(
                endpoint, simulatedEndpoint -> simulatedEndpoint.setConnectionLimit(limit));
    }

    @Override
    public void setEndpointUnreachableFrom(int endpoint, int zone) {
        fleet.onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.ignoreZone(zone));
    }

    @Override
    public void announceToDiscovery(
            List<Integer> positions, ListedEndpoint.State state, double delayMillis) {
        List<SimulatedEndpoint> endpoints = positions.stream().map(fleet.endpoints()::get).toList();
        fleet.discovery().scheduleUpdate(endpoints, state, delayMillis);
    }

    @Override
    public void delayDiscovery(double delayMillis) {
        fleet.discovery().setDelay(delayMillis);
    }

    @Override
    public void restartDiscovery() {
        fleet.discovery().restart();
    }

    @Override
    public void setZoneCut(int zone, boolean active) {
        fleet.setZoneCut(zone, active);
    }

    @Override
    public void setRequestRateFactor(double factor) {
        fleet.setRequestRateFactor(factor);
    }

    @Override
    public void crashProxy(int proxy) {
        fleet.onProxy(proxy, SimulatedProxy::crash);
    }

    @Override
    public void startProxy(int proxy) {
        fleet.restartProxy(proxy);
    }

    @Override
    public void setProxyIsolated(int proxy, boolean active) {
        fleet.onProxy(proxy, simulatedProxy -> simulatedProxy.setIsolated(active));
    }

    @Override
    public void delayProxyAcknowledgements(int proxy, double delayMillis) {
        fleet.onProxy(proxy, simulatedProxy -> simulatedProxy.setResponseDelay(delayMillis));
    }

    @Override
    public void rejectProxyMessages(int proxy, int messageCount) {
        fleet.onProxy(proxy, simulatedProxy -> simulatedProxy.rejectNext(messageCount));
    }

    @Override
    public void setProxyReadStopped(int proxy, boolean active) {
        fleet.onProxy(proxy, simulatedProxy -> simulatedProxy.setReadsPaused(active));
    }

    @Override
    public void killGovernor(int governor) {
        governors.processes().get(governor).kill();
    }

    @Override
    public void startGovernor(int governor) {
        governors.restart(governor);
    }

    @Override
    public void setGovernorPaused(int governor, boolean active) {
        governors
                .processes()
                .get(governor)
                .signal(active ? JavaProcess.Signal.STOP : JavaProcess.Signal.CONT);
    }

    @Override
    public void stopGovernor(int governor) {
        governors.processes().get(governor).signal(JavaProcess.Signal.TERM);
    }

    @Override
    public void setGovernorCut(int governor, boolean active) {
        governors.setCut(governor, active);
    }

    @Override
    public void setPeersCut(int governor, boolean active) {
        governors.setPeersCut(governor, active);
    }

    @Override
    public void setPeerLossShare(double share) {
        governors.setPeerLossShare(share);
    }

    @Override
    public void recordInjectedFault(int governor, String fault) {
        trace.record(new TraceEvent.FaultInjected(EventLoop.nowMillis(), governor, fault));
    }

    @Override
    public void holdDeviceLock(int device, double delayMillis) {
        fleet.onDevice(device, simulatedDevice -> simulatedDevice.lockFor(delayMillis));
    }

    @Override
    public void dropDeviceResponses(int device, int responseCount) {
        fleet.onDevice(device, simulatedDevice -> simulatedDevice.dropResponses(responseCount));
    }

    @Override
    public void changeDeviceConfiguration(int device) {
        fleet.onDevice(device, SimulatedDevice::driftConfiguration);
    }

    @Override
    public void breakConnectionAfter(int governor, int zone, int bytes) {
        governors.breakConnectionAfter(governor, zone, bytes);
    }
}
