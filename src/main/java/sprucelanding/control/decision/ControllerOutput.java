package sprucelanding.control.decision;

import java.util.BitSet;

/**
 * What {@link RoutingController} can order its host to do. Orders that are given at one time travel
 * in one message to each proxy concerned. Times are ms on the host's clock.
 */
public interface ControllerOutput {
    /** Proxies never retry a failed request. */
    int RETRY_NEVER = 0;

    /** Proxies retry only with proof that nothing was executed. */
    int RETRY_IF_NOT_EXECUTED = 1;

    /** Proxies retry any failed request. */
    int RETRY_ALWAYS = 2;

    /**
     * Sets an endpoint's weight in a table.
     *
     * @param weight against the table's other endpoints; 0 removes the entry
     */
    void setWeight(int table, Endpoint endpoint, double weight);

    /** Removes all entries and admissions of a table. */
    void clearTable(int table);

    /**
     * Ejects an endpoint from every table that joined proxies hold, whoever wrote it, or restores
     * it.
     */
    void setEjected(Endpoint endpoint, boolean ejected);

    /**
     * Sets how much of a request class the proxies of a table admit.
     *
     * @param admitted a share of the requests, or a rate a second at each proxy, by the site's mode
     * @param retryPolicy one of the constants above
     */
    void setAdmission(int table, RequestClass requestClass, double admitted, int retryPolicy);

    /** Binds a joined proxy to a table for the request classes at these positions. */
    void bindProxy(int table, Proxy proxy, BitSet requestClasses);

    /**
     * Each proxy that gets a message at this time acknowledges by this number that it applied it.
     */
    void requestAcknowledgement(int acknowledgement);

    /** Asks an endpoint for its health; the host tells the result. */
    void checkHealth(Endpoint endpoint);

    /** Sends at most 256 bytes to every other governor; they may be lost. */
    void sendToPeers(byte[] note);

    /** Asks for the endpoint list and, from then on, its changes. */
    void watchEndpointList();

    /** Sets a timer: at that time the host calls {@link RoutingController#timerFired}. */
    void setTimer(int tag, double at);

    /** Logs an event. */
    void log(DecisionEvent event);
}
