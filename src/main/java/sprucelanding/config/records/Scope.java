package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sprucelanding.config.records.RecordsParser.FieldContext;

/**
 * Scope of the names that expressions of one package can refer to. Names are looked up as loop
 * variables first, then as definitions, fields and imported packages.
 */
final class Scope {
    private final Map<String, RecordValue> definitions;
    private final Map<String, List<FieldContext>> topLevelFields = new LinkedHashMap<>();
    private final Map<String, RecordValue> importedPackages = new HashMap<>();
    private Map<String, RecordValue> loopVariables = new HashMap<>();

    /**
     * Creates a scope without fields, imports or loop variables.
     *
     * @param definitions definitions of other sources by name, including the #; the definitions of
     *     the package are added to the map
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

    /** Returns all occurrences of a top-level field or definition in the files of the package. */
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

    /** Returns a copy of the loop variables, to be restored at the end of a loop. */
    Map<String, RecordValue> copyLoopVariables() {
        return new HashMap<>(loopVariables);
    }

    void restoreLoopVariables(Map<String, RecordValue> copy) {
        loopVariables = copy;
    }

    /** Returns whether a top-level field or a loop variable has the name. */
    boolean redefines(String name) {
        return topLevelFields.containsKey(name) || loopVariables.containsKey(name);
    }
}
