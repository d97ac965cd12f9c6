package sprucelanding.control.discovery;

/**
 * An endpoint as discovery lists it.
 *
 * @param id the endpoint's number, from 1 to 2^32-1
 * @param host host name or IP address
 * @param port TCP port
 * @param zone index in the site's list of zones
 * @param machineKind index in the site's list of machine kinds
 * @param weight relative capacity according to discovery
 * @param startEpochMillis time of the endpoint's latest start, ms since 1970; 0 if that start is
 *     long past
 * @param state state according to discovery
 */
public record ListedEndpoint(
        long id,
        String host,
        int port,
        int zone,
        int machineKind,
        double weight,
        double startEpochMillis,
        State state) {
    /** The state of an endpoint. A list names the state by its constant in lower case. */
    public enum State {
        /** The endpoint takes requests. */
        READY,
        /** The endpoint is about to stop and should receive no more requests. */
        DRAINING,
        /** The endpoint is no longer listed. */
        GONE
    }
}
