package sprucelanding.simulation.scenario;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/** What can be done to a fleet, on sockets or emulated; its members go by position. Times in ms. */
public interface FaultTarget {
    int endpointCount();

    int proxyCount();

    /** Proxies that take NETCONF edits, the last ones. */
    int deviceCount();

    int governorCount();

    /** Zones by position. */
    int endpointZone(int endpoint);

    int proxyZone(int proxy);

    int governorZone(int governor);

    void schedule(double delayMillis, Runnable action);

    void crashEndpoint(int endpoint);

    void startEndpoint(int endpoint);

    boolean isEndpointUp(int endpoint);

    void setEndpointHanging(int endpoint, boolean active);

    void setEndpointSlowdown(int endpoint, double factor);

    void setEndpointFailureShare(int endpoint, double share);

    void setEndpointPaused(int endpoint, boolean active);

    /** Another program takes this share of the machine. */
    void setEndpointOccupiedShare(int endpoint, double share);

    /** 0: as many as it has. */
    void limitEndpointConnections(int endpoint, int limit);

    /** It hears nothing from that zone; -1: it hears all. */
    void setEndpointUnreachableFrom(int endpoint, int zone);

    /** The roster learns how they stand, and tells so much later. */
    void announceToDiscovery(
            List<Integer> endpoints, ListedEndpoint.State stage, double delayMillis);

    void delayDiscovery(double delayMillis);

    void restartDiscovery();

    void setZoneCut(int zone, boolean active);

    /** Clients ask so many times as much. */
    void setRequestRateFactor(double factor);

    void crashProxy(int proxy);

    void startProxy(int proxy);

    void setProxyIsolated(int proxy, boolean active);

    void delayProxyAcknowledgements(int proxy, double delayMillis);

    void rejectProxyMessages(int proxy, int messages);

    void setProxyReadStopped(int proxy, boolean active);

    void killGovernor(int governor);

    void startGovernor(int governor);

    void setGovernorPaused(int governor, boolean active);

    /** Planned: it sends its proxies on and stops. */
    void stopGovernor(int governor);

    /** Its proxies and it do not hear each other; other governors hear it. */
    void setGovernorCut(int governor, boolean active);

    /** Other governors and it do not hear each other; its proxies do. */
    void setPeersCut(int governor, boolean active);

    /** Governors lose this share of what they tell each other. */
    void setPeerLossShare(double share);

    /** Something befalls a governor, for the record. */
    void faultInjected(int governor, String fault);

    /** By position among the devices. */
    void holdDeviceLock(int device, double delayMillis);

    void muteDevice(int device, int answers);

    void driftDevice(int device);

    /**
     * The next stream of a governor to proxies of a zone that brings this many bytes more breaks
     * there.
     */
    void breakConnectionAfter(int governor, int zone, int bytes);
}
