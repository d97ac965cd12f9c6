package sprucelanding.simulation.emulator;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.FaultTarget;

/** Fault target that injects faults into the parties of an emulated fleet. */
final class EmulatedFaultTarget implements FaultTarget {
    private final EmulatedFleet fleet;
    private final List<EmulatedProxy> proxies;
    private final int firstDeviceIndex;
    private final BaselineTables baselineTables;

    /**
     * Creates the fault target of a fleet.
     *
     * @param firstDeviceIndex index of the first device, that is, a proxy configured by NETCONF;
     *     all proxies after it are devices too
     */
    EmulatedFaultTarget(
            EmulatedFleet fleet,
            List<EmulatedProxy> proxies,
            int firstDeviceIndex,
            BaselineTables baselineTables) {
        this.fleet = fleet;
        this.proxies = proxies;
        this.firstDeviceIndex = firstDeviceIndex;
        this.baselineTables = baselineTables;
    }

    @Override
    public int endpointCount() {
        return fleet.endpoints.size();
    }

    @Override
    public int proxyCount() {
        return proxies.size();
    }

    @Override
    public int deviceCount() {
        return proxies.size() - firstDeviceIndex;
    }

    @Override
    public int governorCount() {
        return fleet.governors.size();
    }

    @Override
    public int endpointZone(int endpoint) {
        return fleet.endpoints.get(endpoint).zone;
    }

    @Override
    public int proxyZone(int proxy) {
        return proxies.get(proxy).zone;
    }

    @Override
    public int governorZone(int governor) {
        return fleet.governors.get(governor).zone;
    }

    @Override
    public void schedule(double millis, Runnable task) {
        fleet.clock.scheduleAfter(millis, task);
    }

    @Override
    public void crashEndpoint(int endpoint) {
        fleet.endpoints.get(endpoint).crash();
    }

    @Override
    public void startEndpoint(int endpoint) {
        fleet.endpoints.get(endpoint).startCold();
    }

    @Override
    public boolean isEndpointUp(int endpoint) {
        return fleet.endpoints.get(endpoint).isUp();
    }

    @Override
    public void setEndpointHanging(int endpoint, boolean enabled) {
        fleet.endpoints.get(endpoint).update(model -> model.setHung(enabled));
    }

    @Override
    public void setEndpointSlowdown(int endpoint, double factor) {
        fleet.endpoints.get(endpoint).update(model -> model.setSlowdown(factor));
    }

    @Override
    public void setEndpointFailureShare(int endpoint, double share) {
        fleet.endpoints.get(endpoint).setFailureShare(share);
    }

    @Override
    public void setEndpointPaused(int endpoint, boolean enabled) {
        fleet.endpoints.get(endpoint).update(model -> model.setPaused(enabled));
    }

    @Override
    public void setEndpointOccupiedShare(int endpoint, double share) {
        fleet.endpoints.get(endpoint).update(model -> model.setStolenShare(share));
    }

    @Override
    public void limitEndpointConnections(int endpoint, int limit) {
        fleet.endpoints.get(endpoint).setConnectionLimit(limit);
    }

    @Override
    public void setEndpointUnreachableFrom(int endpoint, int zone) {
        fleet.endpoints.get(endpoint).ignoreZone(zone);
    }

    @Override
    public void announceToDiscovery(
            List<Integer> endpointIndexes, ListedEndpoint.State state, double afterMillis) {
        fleet.discovery.scheduleUpdate(
                endpointIndexes.stream().map(fleet.endpoints::get).toList(), state, afterMillis);
    }

    @Override
    public void delayDiscovery(double millis) {
        fleet.discovery.setDelay(millis);
    }

    @Override
    public void restartDiscovery() {
        fleet.discovery.restart();
    }

    @Override
    public void setZoneCut(int zone, boolean enabled) {
        fleet.network.setZoneCut(zone, enabled);
    }

    @Override
    public void setRequestRateFactor(double factor) {
        fleet.setRequestRateFactor(factor);
    }

    @Override
    public void crashProxy(int proxy) {
        proxies.get(proxy).crash();
    }

    @Override
    public void startProxy(int proxy) {
        proxies.get(proxy).start(baselineTables.staticEndpoints(proxies.get(proxy).zone));
    }

    @Override
    public void setProxyIsolated(int proxy, boolean enabled) {
        proxies.get(proxy).setIsolated(enabled);
    }

    @Override
    public void delayProxyAcknowledgements(int proxy, double millis) {
        proxies.get(proxy).setResponseDelay(millis);
    }

    @Override
    public void rejectProxyMessages(int proxy, int messages) {
        proxies.get(proxy).rejectNext(messages);
    }

    @Override
    public void setProxyReadStopped(int proxy, boolean enabled) {
        proxies.get(proxy).setReadsPaused(enabled);
    }

    @Override
    public void killGovernor(int governor) {
        fleet.governors.get(governor).crash();
    }

    @Override
    public void startGovernor(int governor) {
        fleet.governors.get(governor).start();
    }

    @Override
    public void setGovernorPaused(int governor, boolean enabled) {
        fleet.governors.get(governor).setPaused(enabled);
    }

    @Override
    public void stopGovernor(int governor) {
        fleet.governors.get(governor).stopGracefully();
    }

    @Override
    public void setGovernorCut(int governor, boolean enabled) {
        fleet.governors.get(governor).setIsolated(enabled);
    }

    @Override
    public void setPeersCut(int governor, boolean enabled) {
        fleet.network.setPeerIsolated(governor, enabled);
    }

    @Override
    public void setPeerLossShare(double share) {
        fleet.network.setPeerLossShare(share);
    }

    @Override
    public void recordInjectedFault(int governor, String fault) {
        fleet.record(new TraceEvent.FaultInjected(fleet.clock.now(), governor, fault));
    }

    @Override
    public void holdDeviceLock(int device, double millis) {
        EmulatedProxy proxy = proxies.get(firstDeviceIndex + device);
        proxy.setResponseDelay(millis);
        fleet.clock.scheduleAfter(millis, () -> proxy.setResponseDelay(0));
    }

    @Override
    public void dropDeviceResponses(int device, int responses) {
        proxies.get(firstDeviceIndex + device).dropResponses(responses);
    }

    @Override
    public void changeDeviceConfiguration(int device) {
        proxies.get(firstDeviceIndex + device).driftConfiguration();
    }

    @Override
    public void breakConnectionAfter(int governor, int zone, int bytes) {
        fleet.governors.get(governor).streamBreak().set(zone, bytes);
    }
}
