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
 * Puts updates into the platform's words: JSON objects, one a line. What proxies share is put into
 * words once a moment.
 */
final class UpdateEncoder {
    private static final int MAX_ENTRIES_PER_OBJECT = 4096; // of one object, far below its 1 MiB

    private final List<String> requestClassNames;
    private final Function<Endpoint, String> endpointName;
    private final Map<TableUpdate, List<String>> encodedTables = new IdentityHashMap<>();

    UpdateEncoder(List<String> requestClassNames, Function<Endpoint, String> endpointName) {
        this.requestClassNames = requestClassNames;
        this.endpointName = endpointName;
    }

    /** The next update belongs to a new moment. */
    void beginBatch() {
        encodedTables.clear();
    }

    byte[] encode(ProxyUpdate update) {
        List<String> objects = new ArrayList<>();
        for (TableUpdate table : update.tables()) {
            objects.addAll(encodedTables.computeIfAbsent(table, this::encodeTable));
        }
        StringBuilder tail = new StringBuilder();
        appendEndpoints(tail, "eject", update.ejected());
        appendEndpoints(tail, "restore", update.restored());
        if (update.acknowledgementId() != ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            tail.append(",\"nonce_out\":").append(update.acknowledgementId());
        }
        StringBuilder text = new StringBuilder(1024);
        int last = Math.max(0, objects.size() - 1);
        for (int i = 0; i <= last; i++) {
            text.append("{\"msg\":\"update\"").append(objects.isEmpty() ? "" : objects.get(i));
            text.append(i < last ? ",\"continued\":true" : tail).append("}\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The objects of a part without their braces: its lines with the levels that go for all of it,
     * then other levels.
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
        if (table.full || !table.weights.isEmpty() || commonLevel != null) {
            StringBuilder text = beginRoutes(table.requestClasses);
            text.append(table.full ? ",\"full\":true" : "");
            int entryCount = 0;
            for (Map.Entry<Endpoint, Double> entry : table.weights.entrySet()) {
                if (entryCount == MAX_ENTRIES_PER_OBJECT) {
                    objects.add(text.append(']').toString());
                    text = beginRoutes(table.requestClasses);
                    entryCount = 0;
                }
                text.append(entryCount++ == 0 ? ",\"endpoints\":[[\"" : ",[\"")
                        .append(endpointName.apply(entry.getKey()))
                        .append("\",");
                DecimalFormatter.append(text, entry.getValue());
                text.append(']');
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
            text.append(",\"routes\":[");
            for (int classIndex = requestClasses.nextSetBit(0), written = 0;
                    classIndex >= 0;
                    classIndex = requestClasses.nextSetBit(classIndex + 1)) {
                text.append(written++ == 0 ? "\"" : ",\"")
                        .append(requestClassNames.get(classIndex))
                        .append('"');
            }
            text.append(']');
        }
        return text;
    }

    private static StringBuilder appendAdmission(
            StringBuilder text, TableUpdate.AdmissionLevel admission) {
        text.append(",\"admit\":");
        DecimalFormatter.append(text, admission.admittedShare());
        return text.append(",\"policy\":").append(admission.retryPolicy());
    }

    private void appendEndpoints(StringBuilder text, String field, Collection<Endpoint> endpoints) {
        int written = 0;
        for (Endpoint endpoint : endpoints) {
            text.append(written++ == 0 ? ",\"" + field + "\":[\"" : ",\"")
                    .append(endpointName.apply(endpoint))
                    .append('"');
        }
        text.append(written > 0 ? "]" : "");
    }
}
