package sprucelanding.control.distribution;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.decision.Endpoint;

/**
 * A part of an update: one table's lines and levels, the whole of it or what changed. Proxies on
 * one table share it.
 */
public final class TableUpdate {
    /** How much of a product is let in, and when it is tried again. */
    public record AdmissionLevel(double admittedShare, int retryPolicy) {}

    /** The products it is for, by their positions. */
    public final BitSet requestClasses;

    /** It lays the table anew; what was held of it is forgotten. */
    public final boolean full;

    /** Weights; 0 removes a line. */
    public final Map<Endpoint, Double> weights = new LinkedHashMap<>();

    public final Map<Integer, AdmissionLevel> admissionByClass = new TreeMap<>();

    TableUpdate(BitSet requestClasses, boolean full) {
        this.requestClasses = requestClasses;
        this.full = full;
    }

    void setWeight(Endpoint endpoint, double weight) {
        if (full && weight <= 0) {
            weights.remove(endpoint);
        } else {
            weights.put(endpoint, weight);
        }
    }

    int cost() {
        return (full ? 1 : 0) + weights.size() + admissionByClass.size();
    }
}
