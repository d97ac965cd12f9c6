package sprucelanding.simulation.scenario;

/** The protocol by which a proxy receives its tables from governors. */
enum ProxyProtocol {
    /** The proxy opens an xDS stream to a governor. */
    XDS,
    /** A governor edits the configuration of the proxy over a connection that the proxy opens. */
    NETCONF
}
