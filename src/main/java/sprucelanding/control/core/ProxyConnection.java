package sprucelanding.control.core;

import sprucelanding.control.delivery.ProxyStream;

/** Connection of a proxy, which is either admitted or waits for admission. */
final class ProxyConnection {
    private final ProxyParameters parameters;
    private final ProxyStream stream;
    private boolean isAdmitted;

    /**
     * Parameters that a proxy sends when it connects.
     *
     * @param transport object that the host needs to reach the proxy
     * @param zone name of the proxy's zone
     * @param baselineDemand expected requests per second
     * @param withoutTables whether the proxy holds no routing tables from an earlier connection
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
        return isAdmitted;
    }

    void admit() {
        isAdmitted = true;
    }
}
