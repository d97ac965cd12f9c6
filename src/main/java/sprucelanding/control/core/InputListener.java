package sprucelanding.control.core;

import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;

/**
 * Who overhears what a governor is told beside the inputs of Choice; times are ms on the host's
 * clock.
 */
public interface InputListener {
    InputListener NONE = new InputListener() {};

    /** A replica as it was told, with its address. */
    default void endpointListed(double time, ListedEndpoint endpoint) {}

    /** A proxy of that name dialled, and goes by that number. */
    default void proxyNamed(double time, int proxyId, String name) {}

    default void loadReported(double time, LoadReport report) {}

    default void updateSent(double time, ResourceUpdate update) {}

    /** Refusal is null if the message was accepted. */
    default void updateAnswered(double time, int proxyId, long updateId, String rejection) {}
}
