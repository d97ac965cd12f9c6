package sprucelanding.simulation.scenario;

/** How a proxy takes its tables from governors. */
enum ProxyProtocol {
    /** It opens an xDS stream. */
    XDS,
    /** Governors edit its configuration over a connection that it opens. */
    NETCONF
}
