package sprucelanding.simulation.scenario;

/** The faults of proxies, and of the NETCONF devices that belong to some of them. */
final class ProxyFaults {
    private final FaultTarget target;
    private final FaultSelection selection;
    private final FaultTiming timing;

    ProxyFaults(FaultTarget target, FaultSelection selection, FaultTiming timing) {
        this.target = target;
        this.selection = selection;
        this.timing = timing;
    }

    void register(FaultActions actions) {
        actions.register(FaultKind.PROXY_CRASH, this::crash);
        actions.register(FaultKind.PROXY_ISOLATION, this::isolate);
        actions.register(FaultKind.PROXY_LATE_ACKNOWLEDGEMENT, this::delayAcknowledgements);
        actions.register(FaultKind.PROXY_REJECTION, this::rejectMessages);
        actions.register(FaultKind.PROXY_READ_STOP, this::stopReading);
        actions.register(FaultKind.DEVICE_LOCK, this::holdDeviceLocks);
        actions.register(FaultKind.DEVICE_MUTE, this::muteDevices);
        actions.register(
                FaultKind.DEVICE_DRIFT,
                fault -> selection.devices(fault).forEach(target::changeDeviceConfiguration));
    }

    private void crash(Scenario.Fault fault) {
        timing.during(fault, selection.proxies(fault), target::crashProxy, target::startProxy);
    }

    private void isolate(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.proxies(fault),
                proxy -> target.setProxyIsolated(proxy, true),
                proxy -> target.setProxyIsolated(proxy, false));
    }

    private void delayAcknowledgements(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.proxies(fault),
                proxy -> target.delayProxyAcknowledgements(proxy, fault.size() * 1000),
                proxy -> target.delayProxyAcknowledgements(proxy, 0));
    }

    private void rejectMessages(Scenario.Fault fault) {
        selection
                .proxies(fault)
                .forEach(proxy -> target.rejectProxyMessages(proxy, (int) fault.size()));
    }

    private void stopReading(Scenario.Fault fault) {
        timing.during(
                fault,
                selection.proxies(fault),
                proxy -> target.setProxyReadStopped(proxy, true),
                proxy -> target.setProxyReadStopped(proxy, false));
    }

    private void holdDeviceLocks(Scenario.Fault fault) {
        selection.devices(fault).forEach(device -> target.holdDeviceLock(device, fault.lasts()));
    }

    private void muteDevices(Scenario.Fault fault) {
        selection
                .devices(fault)
                .forEach(device -> target.dropDeviceResponses(device, (int) fault.size()));
    }
}
