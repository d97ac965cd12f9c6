package sprucelanding.control.distribution;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.Endpoint;

/**
 * The part of an update that concerns one table: weights and admission levels, of the whole table
 * or of its changes.
 *
 * <p>Proxies that use a table for the same request classes share one object with the changes.
 */
public final class TableUpdate {
    /**
     * The admission level of a request class, with the rule for retries.
     *
     * @param admittedShareOrRate share of the requests that proxies admit, or admitted requests per
     *     second, depending on the site's admission mode
     * @param retryPolicy one of the constants of {@link ControllerOutput}
     */
    public record AdmissionLevel(double admittedShareOrRate, int retryPolicy) {}

    /** Indices of the request classes that use the table. */
    public final BitSet requestClasses;

    /** Whether this is the whole table, which replaces the proxy's previous copy of the table. */
    public final boolean isFull;

    /** Weights by endpoint, in the order in which they were first ordered; 0 removes an entry. */
    public final Map<Endpoint, Double> weights = new LinkedHashMap<>();

    /** Admission levels by index of the request class. */
    public final Map<Integer, AdmissionLevel> admissionByClass = new TreeMap<>();

    private TableUpdate(BitSet requestClasses, boolean isFull) {
        this.requestClasses = requestClasses;
        this.isFull = isFull;
    }

    /** Creates an empty update that replaces a table. */
    static TableUpdate wholeTable(BitSet requestClasses) {
        return new TableUpdate(requestClasses, true);
    }

    /** Creates an empty update that holds changes of a table only. */
    static TableUpdate changes(BitSet requestClasses) {
        return new TableUpdate(requestClasses, false);
    }

    /** Returns an update with the same content that can be changed independently. */
    TableUpdate copy() {
        TableUpdate copy = new TableUpdate(requestClasses, isFull);
        copy.weights.putAll(weights);
        copy.admissionByClass.putAll(admissionByClass);
        return copy;
    }

    /**
     * Sets a weight. A weight of 0 leaves the entry out of a whole table; among changes it removes
     * the entry at the proxy.
     */
    void setWeight(Endpoint endpoint, double weight) {
        if (isFull && weight <= 0) {
            weights.remove(endpoint);
        } else {
            weights.put(endpoint, weight);
        }
    }

    void setAdmission(int classIndex, AdmissionLevel admission) {
        admissionByClass.put(classIndex, admission);
    }

    /** Returns the cost of this part in the channel, in table entries. */
    int entryCost() {
        return (isFull ? 1 : 0) + weights.size() + admissionByClass.size();
    }
}
