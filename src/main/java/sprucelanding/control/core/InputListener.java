package sprucelanding.control.core;

import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;

/**
 * Listener for a governor's events that do not reach the controller, used by recorders.
 *
 * <p>Called from the core's thread; times are ms on the host's clock.
 */
public interface InputListener {
    /** Listener that ignores all events. */
    InputListener NONE = new InputListener() {};

    /** Called when an endpoint is listed; the endpoint includes its address. */
    default void endpointListed(double time, ListedEndpoint endpoint) {}

    /** Called when a proxy with this name connects and is assigned this id. */
    default void proxyIdAssigned(double time, int proxyId, String name) {}

    /** Called when a load report of an admitted proxy arrives. */
    default void loadReported(double time, LoadReport report) {}

    /** Called when an update is sent. */
    default void updateSent(double time, ResourceUpdate update) {}

    /**
     * Called when a proxy accepts or rejects an update.
     *
     * @param rejection reason of the rejection; null if the proxy accepted the update
     */
    default void updateResultReceived(double time, int proxyId, long updateId, String rejection) {}
}
