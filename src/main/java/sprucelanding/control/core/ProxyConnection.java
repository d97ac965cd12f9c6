package sprucelanding.control.core;

import sprucelanding.control.delivery.ProxyStream;

/** A proxy that has connected: it waits to be admitted, or is. */
final class ProxyConnection {
    private final ProxyParameters parameters;
    private final ProxyStream stream;
    private boolean admitted;

    /**
     * What a proxy tells when it connects.
     *
     * @param transport what the host needs to reach it
     * @param zone name of its zone
     * @param baselineDemand expected requests a second
     * @param withoutTables whether it holds no orders from before
     */
    record ProxyParameters(
            Object transport, String zone, double baselineDemand, boolean withoutTables) {}

    ProxyConnection(ProxyStream stream, ProxyParameters parameters) {
        this.stream = stream;
        this.parameters = parameters;
    }

    ProxyStream stream() {
        return stream;
    }

    Object transport() {
        return parameters.transport();
    }

    ProxyParameters parameters() {
        return parameters;
    }

    boolean isAdmitted() {
        return admitted;
    }

    void admit() {
        admitted = true;
    }
}
