package sprucelanding.control.decision;

import java.util.BitSet;

/** A product that clients ask for, as stated at the start, and what is known of its demand. */
public final class RequestClass {
    public final int index;

    /** May run twice without harm. */
    final boolean idempotent;

    final double revenue;

    /** SLA time, ms. */
    final double latencyObjective;

    /** Machine kinds and zones open to it; none named means all. */
    final BitSet kinds;

    final BitSet zones;

    /** Only replicas of the proxy's own zone may take it. */
    final boolean ownZoneOnly;

    /** Share of it that is let in. */
    double admittedShare = 1;

    /** The same as txns a second at each proxy. */
    double admittedRate;

    /** Txns a second that came to the joined proxies, smoothed. */
    double demand;

    public RequestClass(
            int index,
            boolean inquiryLike,
            double revenue,
            double slaTime,
            BitSet kinds,
            BitSet zones,
            boolean homeOnly) {
        this.index = index;
        this.idempotent = inquiryLike;
        this.revenue = revenue;
        this.latencyObjective = slaTime;
        this.kinds = kinds;
        this.zones = zones;
        this.ownZoneOnly = homeOnly;
    }
}
