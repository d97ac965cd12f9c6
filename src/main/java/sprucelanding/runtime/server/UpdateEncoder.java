package sprucelanding.runtime.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableUpdate;
import sprucelanding.control.settings.DecimalFormatter;

/**
 * An encoder of updates as the platform's messages. A message consists of JSON objects, one per
 * line. An update needs more than one object if its request classes differ in table or admission,
 * or if a table has many entries. A table update that several proxies share is encoded once per
 * batch.
 */
final class UpdateEncoder {
    /**
     * Maximum number of entries in one object, which stays far below the limit of 1 MiB for a
     * message.
     */
    private static final int MAX_ENTRIES_PER_OBJECT = 4096;

    private static final String BEGIN_UPDATE = "{\"" + MessageFields.TYPE + "\":\"update\"";
    private static final String CONTINUED = field("continued") + "true";
    private static final String FULL = field("full") + "true";
    private static final String REQUEST_CLASSES = field("routes") + '[';
    private static final String ENTRIES = field("endpoints") + '[';
    private static final String ADMITTED_SHARE = field("admit");
    private static final String RETRY_POLICY = field("policy");
    private static final String EJECTED = field("eject") + '[';
    private static final String RESTORED = field("restore") + '[';
    private static final String ACKNOWLEDGEMENT_ID = field("nonce_out");

    private final List<String> requestClassNames;
    private final Function<Endpoint, String> endpointName;
    private final Map<TableUpdate, List<String>> encodedTables = new IdentityHashMap<>();

    /**
     * Creates an encoder.
     *
     * @param requestClassNames the names of the request classes, by number
     * @param endpointName returns discovery's name of an endpoint
     */
    UpdateEncoder(List<String> requestClassNames, Function<Endpoint, String> endpointName) {
        this.requestClassNames = requestClassNames;
        this.endpointName = endpointName;
    }

    /** Returns the separator and the name of a field that is not the first of its object. */
    private static String field(String name) {
        return ",\"" + name + "\":";
    }

    /** Begins a new batch: discards the tables that were encoded for the previous one. */
    void beginBatch() {
        encodedTables.clear();
    }

    /** Encodes an update, with all its lines. */
    byte[] encode(ProxyUpdate update) {
        List<String> objects = new ArrayList<>();
        for (TableUpdate table : update.tables()) {
            objects.addAll(encodedTables.computeIfAbsent(table, this::encodeTable));
        }
        StringBuilder tail = new StringBuilder();
        appendEndpoints(tail, EJECTED, update.ejected());
        appendEndpoints(tail, RESTORED, update.restored());
        if (update.acknowledgementId() != ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            tail.append(ACKNOWLEDGEMENT_ID).append(update.acknowledgementId());
        }
        StringBuilder text = new StringBuilder(1024);
        int lastIndex = Math.max(0, objects.size() - 1);
        for (int i = 0; i <= lastIndex; i++) {
            text.append(BEGIN_UPDATE).append(objects.isEmpty() ? "" : objects.get(i));
            text.append(i < lastIndex ? CONTINUED : tail).append("}\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes the objects of a table update, without their braces. If the same admission level
     * applies to all request classes of the table, the object of the entries holds it. Otherwise
     * one object for each admission level follows the entries and names the request classes that
     * the level applies to.
     */
    private List<String> encodeTable(TableUpdate table) {
        List<String> objects = new ArrayList<>();
        Map<TableUpdate.AdmissionLevel, BitSet> levels = new LinkedHashMap<>();
        table.admissionByClass.forEach(
                (classIndex, admission) ->
                        levels.computeIfAbsent(admission, key -> new BitSet()).set(classIndex));
        TableUpdate.AdmissionLevel commonLevel = null;
        if (levels.size() == 1 && levels.values().iterator().next().equals(table.requestClasses)) {
            commonLevel = levels.keySet().iterator().next();
            levels.clear();
        }
        if (table.isFull || !table.weights.isEmpty() || commonLevel != null) {
            StringBuilder text = beginRoutes(table.requestClasses);
            text.append(table.isFull ? FULL : "");
            int entryCount = 0;
            for (Map.Entry<Endpoint, Double> entry : table.weights.entrySet()) {
                if (entryCount == MAX_ENTRIES_PER_OBJECT) {
                    objects.add(text.append(']').toString());
                    text = beginRoutes(table.requestClasses);
                    entryCount = 0;
                }
                text.append(entryCount == 0 ? ENTRIES : ",");
                appendEntry(text, entry.getKey(), entry.getValue());
                entryCount++;
            }
            text.append(entryCount > 0 ? "]" : "");
            objects.add(
                    (commonLevel == null ? text : appendAdmission(text, commonLevel)).toString());
        }
        levels.forEach(
                (admission, requestClasses) ->
                        objects.add(
                                appendAdmission(beginRoutes(requestClasses), admission)
                                        .toString()));
        return objects;
    }

    private StringBuilder beginRoutes(BitSet requestClasses) {
        StringBuilder text = new StringBuilder(256);
        if (requestClasses.cardinality() < requestClassNames.size()) {
            text.append(REQUEST_CLASSES);
            int firstClass = requestClasses.nextSetBit(0);
            for (int classIndex = firstClass;
                    classIndex >= 0;
                    classIndex = requestClasses.nextSetBit(classIndex + 1)) {
                text.append(classIndex == firstClass ? "\"" : ",\"")
                        .append(requestClassNames.get(classIndex))
                        .append('"');
            }
            text.append(']');
        }
        return text;
    }

    private static StringBuilder appendAdmission(
            StringBuilder text, TableUpdate.AdmissionLevel admission) {
        text.append(ADMITTED_SHARE);
        DecimalFormatter.append(text, admission.admittedShareOrRate());
        return text.append(RETRY_POLICY).append(admission.retryPolicy());
    }

    private void appendEntry(StringBuilder text, Endpoint endpoint, double weight) {
        text.append("[\"").append(endpointName.apply(endpoint)).append("\",");
        DecimalFormatter.append(text, weight);
        text.append(']');
    }

    /** Appends a field with a list of endpoints; appends nothing if there are none. */
    private void appendEndpoints(
            StringBuilder text, String fieldStart, Collection<Endpoint> endpoints) {
        if (endpoints.isEmpty()) {
            return;
        }
        String separator = fieldStart;
        for (Endpoint endpoint : endpoints) {
            text.append(separator).append('"').append(endpointName.apply(endpoint)).append('"');
            separator = ",";
        }
        text.append(']');
    }
}
