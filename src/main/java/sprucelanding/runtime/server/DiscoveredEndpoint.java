package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.EndpointState;

/** An endpoint as discovery last named it. Event loop's thread only. */
final class DiscoveredEndpoint {
    private final long endpointId;
    private final String uid;
    private InetSocketAddress address;
    private int zone;
    private int kind;
    private double weight = 1;
    private EndpointState state = EndpointState.GONE;

    /** When it was listed as gone, ms of the controller's clock. */
    private double goneAtMillis;

    /** Its last start by discovery's clock, Unix time in ms; 0 if long past. */
    private double bootMillis;

    /** Whether that start is new, and not put on the controller's clock yet. */
    private boolean startPending;

    /** The same start on the controller's clock. */
    private double startedAtMillis;

    /**
     * Creates an endpoint that is not listed.
     *
     * @param endpointId the governor's own number of it
     * @param uid discovery's name of it
     */
    DiscoveredEndpoint(long endpointId, String uid) {
        this.endpointId = endpointId;
        this.uid = uid;
    }

    long id() {
        return endpointId;
    }

    String uid() {
        return uid;
    }

    InetSocketAddress address() {
        return address;
    }

    int zone() {
        return zone;
    }

    void setPlace(InetSocketAddress newAddress, int newZone) {
        address = newAddress;
        zone = newZone;
    }

    int kind() {
        return kind;
    }

    double weight() {
        return weight;
    }

    void setCapacity(int newKind, double newWeight) {
        kind = newKind;
        weight = newWeight;
    }

    EndpointState state() {
        return state;
    }

    boolean isGone() {
        return state == EndpointState.GONE;
    }

    void setState(EndpointState newState) {
        state = newState;
    }

    double goneAtMillis() {
        return goneAtMillis;
    }

    /** Notes when it was listed as gone; 0 if it is not. */
    void setGoneAtMillis(double millis) {
        goneAtMillis = millis;
    }

    double bootMillis() {
        return bootMillis;
    }

    /** Notes its last start, which is pending if it differs from the one known. */
    void setBootMillis(double newBootMillis) {
        startPending = newBootMillis != bootMillis;
        bootMillis = newBootMillis;
    }

    /** Notes its last start as pending. */
    void setFirstBootMillis(double newBootMillis) {
        startPending = true;
        bootMillis = newBootMillis;
    }

    boolean isStartPending() {
        return startPending;
    }

    double startedAtMillis() {
        return startedAtMillis;
    }

    /** Puts its last start on the controller's clock; it is pending no longer. */
    void setStartedAtMillis(double millis) {
        startedAtMillis = millis;
        startPending = false;
    }

    /** The controller's clock was wrong: puts its last start on it anew. */
    void correctStartedAtMillis(double millis) {
        startedAtMillis = millis;
    }
}
