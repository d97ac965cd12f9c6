package sprucelanding.simulation.scenario;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * A fleet that faults are injected into, on sockets or emulated. Members and zones are identified
 * by their position. Times are in milliseconds. All methods are called on the thread that runs
 * scheduled actions.
 */
public interface FaultTarget {
    /** The position of a zone that means that there is no zone. */
    int NO_ZONE = -1;

    /** The connection limit with which only the endpoint's own settings limit the connections. */
    int UNLIMITED_CONNECTIONS = 0;

    /** Returns the number of endpoints. */
    int endpointCount();

    /** Returns the number of proxies. */
    int proxyCount();

    /** Returns the number of devices. The devices are the last proxies. */
    int deviceCount();

    /** Returns the number of governors. */
    int governorCount();

    /** Returns the zone of an endpoint. */
    int endpointZone(int endpoint);

    /** Returns the zone of a proxy. */
    int proxyZone(int proxy);

    /** Returns the zone of a governor. */
    int governorZone(int governor);

    /** Runs an action after a delay, on the calling thread. */
    void schedule(double delayMillis, Runnable action);

    /** Ends an endpoint's process. */
    void crashEndpoint(int endpoint);

    /** Starts an endpoint's process. */
    void startEndpoint(int endpoint);

    /** Returns whether an endpoint's process runs. */
    boolean isEndpointUp(int endpoint);

    /** Makes an endpoint accept requests without answering them. */
    void setEndpointHanging(int endpoint, boolean active);

    /** Makes an endpoint slower by a factor. The factor 1 is the usual speed. */
    void setEndpointSlowdown(int endpoint, double factor);

    /** Makes an endpoint answer a share of the requests with an error. */
    void setEndpointFailureShare(int endpoint, double share);

    /** Pauses an endpoint's process, or continues it. */
    void setEndpointPaused(int endpoint, boolean active);

    /** Lets another program take a share of an endpoint's machine. */
    void setEndpointOccupiedShare(int endpoint, double share);

    /** Limits an endpoint's connections; {@link #UNLIMITED_CONNECTIONS} removes the limit. */
    void limitEndpointConnections(int endpoint, int limit);

    /** Makes an endpoint ignore all packets from a zone; {@link #NO_ZONE} ends this. */
    void setEndpointUnreachableFrom(int endpoint, int zone);

    /** Sends the state of endpoints to discovery, which reports the state after a delay. */
    void announceToDiscovery(
            List<Integer> endpoints, ListedEndpoint.State state, double delayMillis);

    /** Makes discovery report all changes later by a delay; 0 ends this. */
    void delayDiscovery(double delayMillis);

    /** Restarts discovery, which closes its watches. */
    void restartDiscovery();

    /** Cuts a zone off from the others, or reconnects it. */
    void setZoneCut(int zone, boolean active);

    /** Multiplies the request rate of all clients. */
    void setRequestRateFactor(double factor);

    /** Ends a proxy's process. */
    void crashProxy(int proxy);

    /** Starts a proxy's process. */
    void startProxy(int proxy);

    /** Cuts a proxy off from all governors, or reconnects it. */
    void setProxyIsolated(int proxy, boolean active);

    /** Makes a proxy acknowledge messages later by a delay; 0 ends this. */
    void delayProxyAcknowledgements(int proxy, double delayMillis);

    /** Makes a proxy reject a number of messages, beginning with the next. */
    void rejectProxyMessages(int proxy, int messageCount);

    /** Makes a proxy stop or resume reading from its governor. */
    void setProxyReadStopped(int proxy, boolean active);

    /** Kills a governor's process. */
    void killGovernor(int governor);

    /** Starts a governor's process. */
    void startGovernor(int governor);

    /** Pauses a governor's process, or continues it. */
    void setGovernorPaused(int governor, boolean active);

    /** Stops a governor as planned. The governor hands its proxies over before its process ends. */
    void stopGovernor(int governor);

    /** Cuts a governor off from its proxies, but not from other governors, or reconnects it. */
    void setGovernorCut(int governor, boolean active);

    /**
     * Cuts a governor off from the other governors if {@code active}, otherwise reconnects the
     * governor to them. The cut does not affect the governor's proxies.
     */
    void setPeersCut(int governor, boolean active);

    /** Makes the network lose a share of the packets between governors. */
    void setPeerLossShare(double share);

    /**
     * Records that a fault was injected into a governor.
     *
     * @param fault name of the fault, as in {@link
     *     sprucelanding.simulation.rules.TraceEvent.FaultInjected}
     */
    void recordInjectedFault(int governor, String fault);

    /**
     * Makes another management client hold the configuration lock of a device for a time.
     *
     * @param device position of the device among the devices
     */
    void holdDeviceLock(int device, double delayMillis);

    /** Makes a device execute a number of requests without sending the responses. */
    void dropDeviceResponses(int device, int responseCount);

    /** Changes the configuration of a device without the knowledge of its governor. */
    void changeDeviceConfiguration(int device);

    /** Breaks the next stream from a governor to a zone that carries {@code bytes} more bytes. */
    void breakConnectionAfter(int governor, int zone, int bytes);
}
