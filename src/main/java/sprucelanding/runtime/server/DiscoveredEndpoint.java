package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.EndpointState;

/** A replica as discovery names it. */
final class DiscoveredEndpoint {
    final long id;
    final String uid;
    InetSocketAddress address;
    EndpointState state = EndpointState.GONE;

    /** When it was told to be gone, ms on the module's clock. */
    double goneAtMillis;

    int zone;
    int kind;
    double weight = 1;

    /** Its last start as discovery tells it, Unix time in ms; 0 if long past. */
    double bootMillis;

    /** That start is new, and not taken in yet. */
    boolean startPending;

    /** The same on the module's clock. */
    double startedAtMillis;

    DiscoveredEndpoint(long id, String uid) {
        this.id = id;
        this.uid = uid;
    }
}
