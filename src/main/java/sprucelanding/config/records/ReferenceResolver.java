package sprucelanding.config.records;

import static sprucelanding.config.records.SyntaxTrees.positionOf;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.antlr.v4.runtime.tree.TerminalNode;
import sprucelanding.config.records.RecordValue.Openness;
import sprucelanding.config.records.RecordsParser.FieldContext;
import sprucelanding.config.records.RecordsParser.ReferenceContext;

/**
 * Resolver of references. Evaluates the field or definition that a reference names when the
 * reference is read. Reports references to themselves and chains of references beyond a limit as
 * faults. A faulty reference resolves to an empty struct, so that the read continues and finds
 * further faults.
 */
final class ReferenceResolver {
    private static final int MAX_REFERENCE_DEPTH = 64;
    private static final String PATH_SEPARATOR = ".";

    private final Scope scope;
    private final ExpressionEvaluator evaluator;
    private final Faults faults;

    /** Top-level names whose evaluation has begun and is not complete. */
    private final Set<String> namesInProgress = new HashSet<>();

    private int referenceDepth;

    ReferenceResolver(Scope scope, ExpressionEvaluator evaluator, Faults faults) {
        this.scope = scope;
        this.evaluator = evaluator;
        this.faults = faults;
    }

    /**
     * Returns the value of a reference such as {@code int}, {@code #Name} or {@code other.field}.
     */
    RecordValue resolve(ReferenceContext reference) {
        String name = reference.name.getText();
        SourcePosition position = positionOf(reference);
        List<String> path = pathOf(reference);
        Optional<BasicKind> basicKind = BasicKind.ofKeyword(name);
        if (basicKind.isPresent() && path.isEmpty() && !scope.redefines(name)) {
            return new RecordValue.BasicType(position, basicKind.get());
        }
        if (referenceDepth >= MAX_REFERENCE_DEPTH) {
            faults.add(
                    position,
                    "references nested more than " + MAX_REFERENCE_DEPTH + " levels deep");
            return emptyStruct(position);
        }
        referenceDepth++;
        RecordValue value = resolveVariable(name, position);
        referenceDepth--;
        for (String field : path) {
            Optional<RecordValue> next = fieldOf(value, field);
            if (next.isEmpty()) {
                faults.add(position, reference.getText() + ": there is no field " + field);
                return emptyStruct(position);
            }
            value = next.get();
        }
        return value;
    }

    /** Returns the names of a reference that follow the first name. */
    private static List<String> pathOf(ReferenceContext reference) {
        List<String> path = new ArrayList<>();
        for (int i = 1; i < reference.getChildCount(); i++) {
            if (reference.getChild(i) instanceof TerminalNode terminal
                    && !terminal.getText().equals(PATH_SEPARATOR)) {
                path.add(terminal.getText());
            }
        }
        return path;
    }

    /** Returns a field of a struct. Returns empty for values of other types. */
    static Optional<RecordValue> fieldOf(RecordValue value, String field) {
        return value instanceof RecordValue.Struct struct ? struct.field(field) : Optional.empty();
    }

    /**
     * Returns the value of a loop variable, or of a name of the package if there is no such
     * variable.
     */
    RecordValue resolveVariable(String name, SourcePosition referencedFrom) {
        Optional<RecordValue> variable = scope.loopVariable(name);
        return variable.isPresent() ? variable.get() : resolveName(name, referencedFrom);
    }

    /** Returns the value of a definition, a field of the top level or an imported package. */
    RecordValue resolveName(String name, SourcePosition referencedFrom) {
        Optional<RecordValue> definition = scope.definition(name);
        if (definition.isPresent()) {
            return definition.get();
        }
        List<FieldContext> occurrences = scope.topLevelFields(name);
        if (occurrences.isEmpty()) {
            return resolveImported(name, referencedFrom);
        }
        if (!namesInProgress.add(name)) {
            faults.add(referencedFrom, name + " refers to itself");
            return emptyStruct(referencedFrom);
        }
        RecordValue unified = unifyOccurrences(name, occurrences);
        namesInProgress.remove(name);
        if (SyntaxTrees.isDefinition(name)) {
            scope.define(name, unified);
        }
        return unified;
    }

    private RecordValue resolveImported(String name, SourcePosition referencedFrom) {
        Optional<RecordValue> imported = scope.importedPackage(name);
        if (imported.isEmpty()) {
            faults.add(referencedFrom, name + " is not defined");
            return emptyStruct(referencedFrom);
        }
        return imported.get();
    }

    private RecordValue unifyOccurrences(String name, List<FieldContext> occurrences) {
        Openness openness = SyntaxTrees.isDefinition(name) ? Openness.CLOSED : Openness.OPEN;
        RecordValue unified = null;
        for (FieldContext field : occurrences) {
            RecordValue operand = evaluator.fieldValue(field, openness);
            unified = unified == null ? operand : new Unifier(faults).unify(unified, operand, name);
        }
        return unified;
    }

    private static RecordValue.Struct emptyStruct(SourcePosition position) {
        return new RecordValue.Struct(position, Openness.OPEN);
    }
}
