package sprucelanding.control.decision;

import java.util.BitSet;

/**
 * A configured class of requests, with its current demand and admission. Rates are requests per
 * second.
 */
public final class RequestClass {
    /** Position among the site's request classes. */
    public final int index;

    private final boolean idempotent;
    private final double revenue;
    private final double latencyObjectiveMs;
    private final BitSet machineKinds;
    private final BitSet zones;
    private final boolean ownZoneOnly;
    private double admittedShare = 1;
    private double admittedRate;
    private double demand;

    /**
     * Creates a request class whose requests are all admitted.
     *
     * @param index position among the site's request classes
     * @param idempotent whether a request may be executed twice without harm
     * @param revenue revenue of one request, in the site's unit; load shedding starts with the
     *     class of the lowest revenue
     * @param latencyObjectiveMs maximum response time that counts as in time
     * @param machineKinds machine kinds of the endpoints that may serve the class; empty for all
     * @param zones zones of the endpoints that may serve the class; empty for all
     * @param ownZoneOnly whether only endpoints in the proxy's own zone may serve the class
     */
    public RequestClass(
            int index,
            boolean idempotent,
            double revenue,
            double latencyObjectiveMs,
            BitSet machineKinds,
            BitSet zones,
            boolean ownZoneOnly) {
        this.index = index;
        this.idempotent = idempotent;
        this.revenue = revenue;
        this.latencyObjectiveMs = latencyObjectiveMs;
        this.machineKinds = machineKinds;
        this.zones = zones;
        this.ownZoneOnly = ownZoneOnly;
    }

    boolean isIdempotent() {
        return idempotent;
    }

    double revenue() {
        return revenue;
    }

    double latencyObjective() {
        return latencyObjectiveMs;
    }

    BitSet machineKinds() {
        return machineKinds;
    }

    BitSet zones() {
        return zones;
    }

    boolean isOwnZoneOnly() {
        return ownZoneOnly;
    }

    /** Returns whether an endpoint of the given machine kind and zone may serve the class. */
    boolean canBeServedBy(int machineKind, int zone) {
        return (machineKinds.isEmpty() || machineKinds.get(machineKind))
                && (zones.isEmpty() || zones.get(zone));
    }

    /** Returns the admitted share of the requests, 0 to 1. */
    double admittedShare() {
        return admittedShare;
    }

    /** Returns the admitted rate at each proxy. */
    double admittedRate() {
        return admittedRate;
    }

    /** Returns the smoothed rate of requests to all joined proxies. */
    double demand() {
        return demand;
    }

    /** Returns the rate of admitted requests at all joined proxies. */
    double admittedDemand() {
        return demand * admittedShare;
    }

    /** Set by {@link AdmissionController}. */
    void setDemand(double demand) {
        this.demand = demand;
    }

    /** Set by {@link AdmissionController}. */
    void setAdmitted(double share, double rate) {
        admittedShare = share;
        admittedRate = rate;
    }
}
