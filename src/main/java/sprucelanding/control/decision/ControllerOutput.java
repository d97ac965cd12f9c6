package sprucelanding.control.decision;

import java.util.BitSet;
import java.util.Collection;

/**
 * The orders that {@link RoutingController} gives to its host. All orders given at one time are
 * sent in one message to each proxy concerned. Times are in ms on the host's clock.
 */
public interface ControllerOutput {
    /** Proxies never retry a failed request. */
    int RETRY_NEVER = 0;

    /** Proxies retry a failed request only with proof that the request was not executed. */
    int RETRY_IF_NOT_EXECUTED = 1;

    /** Proxies retry any failed request. */
    int RETRY_ALWAYS = 2;

    /**
     * Sets the weight of an endpoint in a table.
     *
     * @param table number of the table
     * @param weight weight relative to the other endpoints of the table; 0 removes the entry
     */
    void setWeight(int table, Endpoint endpoint, double weight);

    /** Removes all entries and admission levels of a table. */
    void clearTable(int table);

    /**
     * Ejects an endpoint from every table of the joined proxies, or restores the endpoint. The
     * order covers tables of any governor.
     */
    void setEjected(Endpoint endpoint, boolean ejected);

    /**
     * Ends any ejection of an endpoint that the given proxies may still hold, in addition to the
     * restorations that {@link #setEjected} orders. Only a host that has called {@link
     * RoutingController#configureKeptEjections} gets this order.
     */
    default void restoreAt(Endpoint endpoint, Collection<Proxy> proxies) {
        throw new UnsupportedOperationException("the host's proxies keep no ejections");
    }

    /**
     * Sets the admission level of a request class for the proxies of a table.
     *
     * @param table number of the table
     * @param admitted share of the requests or requests per second at each proxy, depending on the
     *     {@link AdmissionMode} of the site
     * @param retryPolicy one of the {@code RETRY_} constants
     */
    void setAdmission(int table, RequestClass requestClass, double admitted, int retryPolicy);

    /**
     * Binds a joined proxy to a table.
     *
     * @param table number of the table
     * @param requestClasses positions of the request classes that the table routes
     */
    void bindProxy(int table, Proxy proxy, BitSet requestClasses);

    /**
     * Requests an acknowledgement from each proxy that is sent a message at this time. A proxy
     * acknowledges once it has applied the message.
     *
     * @param acknowledgement number that the acknowledgement carries
     */
    void requestAcknowledgement(int acknowledgement);

    /** Starts a health check of an endpoint. The host reports the result later. */
    void checkHealth(Endpoint endpoint);

    /** Sends a message of at most 256 bytes to every other governor. The message may be lost. */
    void sendToPeers(byte[] message);

    /** Requests the endpoint list and, from then on, the changes of the list. */
    void watchEndpointList();

    /**
     * Sets a timer. The host calls {@link RoutingController#timerFired} when the timer fires.
     *
     * @param tag tag that the host passes back
     * @param time time at which the timer fires, ms
     */
    void setTimer(int tag, double time);

    /** Logs an event. */
    void log(DecisionEvent event);
}
