package sprucelanding.simulation.loopback;

/** The HTTP headers of requests between clients, proxies and endpoints. */
final class RequestHeaders {
    /** The id of the request. */
    static final String REQUEST_ID = "x-txn";

    /** The work of the request, in ms on a core of speed 1. */
    static final String WORK = "x-work";

    /** The time in ms until the client abandons the attempt. */
    static final String REMAINING_MILLIS = "x-left";

    /** The number of the proxy. */
    static final String PROXY = "x-proxy";

    /** The number of the proxy's attempt, from 1. */
    static final String ATTEMPT = "x-attempt";

    /** In a response: states that the request was certainly not executed. */
    static final String NOT_EXECUTED = "x-unrun";

    /** In a response: the load report of the endpoint (ORCA, text form). */
    static final String LOAD_REPORT = "endpoint-load-metrics";

    private RequestHeaders() {}
}
