package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sprucelanding.config.records.RecordsParser.FieldContext;

/**
 * The names that expressions of one package can refer to. Loop variables hide all others;
 * definitions come before fields, fields before imported packages.
 */
final class Scope {
    private final Map<String, RecordValue> definitions;
    private final Map<String, List<FieldContext>> topLevelFields = new LinkedHashMap<>();
    private final Map<String, RecordValue> importedPackages = new HashMap<>();
    private Map<String, RecordValue> loopVariables = new HashMap<>();

    /**
     * @param definitions those of other sources, by name with #; the package's own are added
     */
    Scope(Map<String, RecordValue> definitions) {
        this.definitions = definitions;
    }

    Optional<RecordValue> definition(String name) {
        return Optional.ofNullable(definitions.get(name));
    }

    void define(String name, RecordValue value) {
        definitions.put(name, value);
    }

    /** The places where a field or definition of the package's top level is given. */
    List<FieldContext> topLevelFields(String name) {
        return topLevelFields.getOrDefault(name, List.of());
    }

    void addTopLevelField(String name, FieldContext field) {
        topLevelFields.computeIfAbsent(name, key -> new ArrayList<>()).add(field);
    }

    Optional<RecordValue> importedPackage(String name) {
        return Optional.ofNullable(importedPackages.get(name));
    }

    void addImportedPackage(String name, RecordValue fields) {
        importedPackages.put(name, fields);
    }

    Optional<RecordValue> loopVariable(String name) {
        return Optional.ofNullable(loopVariables.get(name));
    }

    void setLoopVariable(String name, RecordValue value) {
        loopVariables.put(name, value);
    }

    /** The loop variables as they are now, to be restored at the loop's end. */
    Map<String, RecordValue> copyLoopVariables() {
        return new HashMap<>(loopVariables);
    }

    void restoreLoopVariables(Map<String, RecordValue> copy) {
        loopVariables = copy;
    }

    /** Whether the package or a loop gives that name a meaning of its own. */
    boolean redefines(String name) {
        return topLevelFields.containsKey(name) || loopVariables.containsKey(name);
    }
}
