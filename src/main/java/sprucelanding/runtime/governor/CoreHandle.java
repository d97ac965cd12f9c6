package sprucelanding.runtime.governor;

import java.util.Map;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.loadreport.LoadReport;

/**
 * The interface through which a front notifies the core. All methods are safe to call from any
 * thread and never block. Methods that return a boolean return false if the core's queue is full.
 * The notification was not accepted in that case, and the caller repeats the call later.
 */
public interface CoreHandle {
    /**
     * Reports that a proxy has connected.
     *
     * @param front the front that the proxy is connected to
     * @param stream the proxy's stream
     * @param zone name of the proxy's zone
     * @param expectedRequestsPerSecond requests per second that the proxy usually receives
     * @param withoutTables whether the proxy holds no tables of any governor
     */
    boolean proxyConnected(
            Front front,
            ProxyStream stream,
            String zone,
            double expectedRequestsPerSecond,
            boolean withoutTables);

    /** Reports that a proxy's stream has ended and that nothing more is written on it. */
    boolean proxyDisconnected(ProxyStream stream);

    /** Reports that a proxy has subscribed to a resource, or has unsubscribed from it. */
    boolean subscriptionChanged(
            ProxyStream stream, ResourceType type, int table, boolean isSubscribed);

    /** Reports some of the resources that a proxy holds, with their versions. */
    boolean heldResourcesReported(ProxyStream stream, Map<ResourceName, String> versions);

    /** Reports all resources that a proxy holds, with their versions. */
    boolean allHeldResourcesReported(ProxyStream stream, Map<ResourceName, String> versions);

    /**
     * Reports that a proxy has acknowledged or rejected an update.
     *
     * @param rejection reason of the rejection; null if the update was acknowledged
     */
    boolean updateResultReceived(ProxyStream stream, long updateId, String rejection);

    /** Passes on the load report of a proxy. */
    boolean loadReported(LoadReport report);

    /**
     * Returns whether other governors share the fleet. Nothing may then be written to a proxy
     * before this governor holds a lease for that proxy.
     */
    default boolean isFleetShared() {
        return false;
    }

    /** Returns a stable number for a proxy's name; -1 if there are too many names. */
    int proxyId(String proxyName);

    /**
     * Reports that the bytes of an update were passed to the transport.
     *
     * @param front the front that wrote the update
     * @param update the update
     * @param writtenAtMillis time of the write, ms on the loop's clock
     * @param bytes number of bytes
     */
    void updateWritten(Front front, ResourceUpdate update, double writtenAtMillis, long bytes);
}
