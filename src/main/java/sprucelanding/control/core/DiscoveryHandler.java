package sprucelanding.control.core;

import java.util.HashMap;
import java.util.Map;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.discovery.EndpointList;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * Handler of endpoint lists from service discovery. It keeps the latest state of each endpoint and
 * passes changes to the controller.
 *
 * <p>Called from the core's thread; times are ms on the host's clock unless stated otherwise.
 */
final class DiscoveryHandler {
    private final GovernorHost host;
    private final ControllerInput input;
    private final InputListener listener;
    private final EndpointList endpointList;
    private final double wallClockOffsetMillis;
    private final Map<Long, ListedEndpoint> endpointsById = new HashMap<>();

    /** Whether no list has been received or restored from the saved copy yet. */
    private boolean isAwaitingFirstList = true;

    /**
     * Creates a handler.
     *
     * @param wallClockOffsetMillis ms to subtract from a wall-clock time to get the host's time
     */
    DiscoveryHandler(
            GovernorHost host,
            ControllerInput input,
            InputListener listener,
            EndpointList endpointList,
            double wallClockOffsetMillis) {
        this.host = host;
        this.input = input;
        this.listener = listener;
        this.endpointList = endpointList;
        this.wallClockOffsetMillis = wallClockOffsetMillis;
    }

    /** Handles a new connection to discovery. */
    void connected() {
        endpointList.connectionOpened();
        host.log("the roster is heard"); // recorded emulator logs contain this text
    }

    /**
     * Applies a list, unless it is no newer than the known one.
     *
     * @return false if the list is invalid; nothing of it is applied then
     */
    boolean received(String json) {
        try {
            EndpointList.ListUpdate update = endpointList.update(json);
            if (update != null) {
                apply(update);
            }
            return true;
        } catch (EndpointList.InvalidEndpointListException e) {
            host.log("endpoint list rejected", "why", e.getMessage());
            return false;
        }
    }

    private void apply(EndpointList.ListUpdate update) {
        double now = host.now();
        input.setTime(now);
        input.endpointListStarted(update.isComplete(), isAwaitingFirstList);
        for (ListedEndpoint endpoint : update.entries()) {
            endpointsById.put(endpoint.id(), endpoint);
            host.endpointListed(endpoint);
            listener.endpointListed(now, endpoint);
            input.endpointListed(
                    endpoint.id(),
                    endpoint.zone(),
                    endpoint.machineKind(),
                    endpoint.weight(),
                    endpoint.startEpochMillis() == 0
                            ? 0
                            : endpoint.startEpochMillis() - wallClockOffsetMillis,
                    stateOf(endpoint));
        }
        input.endpointListCompleted();
        // Recorded emulator logs contain these texts.
        host.log(
                isAwaitingFirstList ? "begins with a list" : "list told",
                "version",
                update.version(),
                "whole",
                update.isComplete(),
                "entries",
                update.entries().size());
        isAwaitingFirstList = false;
    }

    private static EndpointState stateOf(ListedEndpoint endpoint) {
        return switch (endpoint.state()) {
            case READY -> EndpointState.AVAILABLE;
            case DRAINING -> EndpointState.DRAINING;
            case GONE -> EndpointState.GONE;
        };
    }

    /**
     * Handles a failure to retrieve the list.
     *
     * @param pushed whether discovery pushes the list; otherwise the controller is notified and
     *     requests it again
     */
    void failed(String reason, boolean pushed) {
        host.log("discovery connection failed", "why", reason);
        if (!pushed) {
            input.setTime(host.now());
            input.endpointListFailed();
        }
    }

    /** Returns the complete known list as JSON. */
    String listJson() {
        return endpointList.toJson();
    }

    /** Returns an endpoint as it was last listed; null if it was never listed. */
    ListedEndpoint endpoint(long endpointId) {
        return endpointsById.get(endpointId);
    }
}
