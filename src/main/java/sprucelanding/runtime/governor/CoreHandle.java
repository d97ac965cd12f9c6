package sprucelanding.runtime.governor;

import java.util.Map;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.loadreport.LoadReport;

/**
 * What a front tells the core, from any thread. False: the core is full and nothing was taken; ask
 * again later.
 */
public interface CoreHandle {
    /**
     * A proxy dialled.
     *
     * @param bare it holds no orders of any governor
     * @param zone its zone's name
     * @param usual txns a second that it usually gets
     */
    boolean proxyConnected(
            Front front,
            ProxyStream stream,
            String zone,
            double expectedRate,
            boolean withoutTables);

    boolean proxyDisconnected(ProxyStream stream);

    boolean subscriptionChanged(
            ProxyStream stream, ResourceType kind, int table, boolean subscribed);

    /** It says that it holds these, by version. */
    boolean resourcesHeld(ProxyStream stream, Map<ResourceName, String> versions);

    /** The same, and it holds nothing else. */
    boolean allResourcesHeld(ProxyStream stream, Map<ResourceName, String> versions);

    boolean updateAnswered(ProxyStream stream, long updateNumber, String rejection);

    boolean loadReported(LoadReport report);

    /**
     * Whether other governors share the fleet, so that nothing may be written before a lease says
     * so. Any thread.
     */
    default boolean isFleetShared() {
        return false;
    }

    /**
     * A stable number for a proxy's name; -1 if there are too many names. Safe to call from any
     * thread.
     */
    int proxyId(String proxy);

    /**
     * Told once the bytes of a message were handed to the transport; ms on the loop's clock. Any
     * thread.
     */
    void updateWritten(Front front, ResourceUpdate update, double writtenAt, long bytes);
}
