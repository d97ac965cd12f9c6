package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.EndpointState;

/** An endpoint as discovery last listed it. It is used on the event loop's thread only. */
final class DiscoveredEndpoint {
    private final long endpointId;
    private final String uid;
    private InetSocketAddress address;
    private int zone;
    private int kind;
    private double weight = 1;
    private EndpointState state = EndpointState.GONE;

    /** The revision of the list that last changed the state. */
    private long stateRevision;

    /**
     * Since when lists of lower revisions have shown an earlier state of the same process, ms of
     * the controller's clock; infinite if they have not.
     */
    private double outdatedSinceMillis = Double.POSITIVE_INFINITY;

    /** When the endpoint was listed as gone, ms of the controller's clock; 0 if it is not gone. */
    private double goneAtMillis;

    /** The endpoint's last start by discovery's clock, Unix time in ms; 0 if long past. */
    private double bootMillis;

    /** Whether the last start is new and not yet converted to the controller's clock. */
    private boolean hasPendingStart;

    /** The last start, ms of the controller's clock. */
    private double startedAtMillis;

    /**
     * Creates an endpoint that is not listed.
     *
     * @param endpointId the governor's own number of the endpoint
     * @param uid discovery's name of the endpoint
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

    void setLocation(InetSocketAddress newAddress, int newZone) {
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

    /**
     * Sets the state.
     *
     * @param revision the revision of the list that shows the state
     */
    void setState(EndpointState newState, long revision) {
        stateRevision = newState == state ? stateRevision : revision;
        state = newState;
        outdatedSinceMillis = Double.POSITIVE_INFINITY;
    }

    /**
     * Returns whether a list is behind what is known of this endpoint: it shows an earlier state of
     * a process that a list of a higher revision has shown as draining or gone.
     */
    boolean isAheadOf(EndpointState listed, double listedBootMillis, long revision) {
        boolean isEarlierState = listed.compareTo(state) < 0;
        return isEarlierState && listedBootMillis <= bootMillis && revision < stateRevision;
    }

    /** Notes an outdated entry; returns since when there have been such entries, ms. */
    double outdatedEntryListed(double nowMillis) {
        outdatedSinceMillis = Math.min(outdatedSinceMillis, nowMillis);
        return outdatedSinceMillis;
    }

    /** Returns whether the last entry was outdated and has not been applied. */
    boolean isEntryWithheld() {
        return outdatedSinceMillis < Double.POSITIVE_INFINITY;
    }

    double goneAtMillis() {
        return goneAtMillis;
    }

    /** Sets when the endpoint was listed as gone; 0 if it is not gone. */
    void setGoneAtMillis(double millis) {
        goneAtMillis = millis;
    }

    double bootMillis() {
        return bootMillis;
    }

    /** Sets the last start. The start is pending if it differs from the known one. */
    void setBootMillis(double newBootMillis) {
        hasPendingStart = newBootMillis != bootMillis;
        bootMillis = newBootMillis;
    }

    /**
     * Sets the last start of an endpoint that is listed for the first time. The start is pending.
     */
    void setFirstBootMillis(double newBootMillis) {
        hasPendingStart = true;
        bootMillis = newBootMillis;
    }

    boolean hasPendingStart() {
        return hasPendingStart;
    }

    double startedAtMillis() {
        return startedAtMillis;
    }

    /** Sets the last start on the controller's clock. The start is no longer pending. */
    void setStartedAtMillis(double millis) {
        startedAtMillis = millis;
        hasPendingStart = false;
    }

    /** Corrects the last start on the controller's clock after an error of that clock was found. */
    void correctStartedAtMillis(double millis) {
        startedAtMillis = millis;
    }
}
