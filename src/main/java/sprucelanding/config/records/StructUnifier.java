package sprucelanding.config.records;

import java.util.Optional;
import sprucelanding.config.records.RecordValue.Openness;

/**
 * Unifier of two structs. Unifies them field by field. A field that only one struct has is a fault
 * if the other struct is closed. The result contains the field in both cases.
 */
final class StructUnifier {
    private final Unifier unifier;
    private final Faults faults;
    private final String pathPrefix;

    /**
     * Creates a unifier of the values of one field.
     *
     * @param field path of the field that has both structs as values; empty for the top level
     */
    StructUnifier(Unifier unifier, Faults faults, String field) {
        this.unifier = unifier;
        this.faults = faults;
        this.pathPrefix = field.isEmpty() ? "" : field + ".";
    }

    RecordValue.Struct unify(RecordValue.Struct left, RecordValue.Struct right) {
        boolean isClosed = left.isClosed() || right.isClosed();
        RecordValue.Struct unified =
                new RecordValue.Struct(
                        right.isClosed() ? left.position() : right.position(),
                        isClosed ? Openness.CLOSED : Openness.OPEN);
        for (String name : left.fields().keySet()) {
            if (right.field(name).isPresent()) {
                unifyField(name, left, right, unified);
            } else {
                addUnmatchedField(name, left, right, unified);
            }
        }
        for (String name : right.fields().keySet()) {
            if (left.field(name).isEmpty()) {
                addUnmatchedField(name, right, left, unified);
            }
        }
        return unified;
    }

    private void unifyField(
            String name,
            RecordValue.Struct left,
            RecordValue.Struct right,
            RecordValue.Struct unified) {
        RecordValue leftValue = left.fields().get(name);
        RecordValue rightValue = right.fields().get(name);
        unified.put(name, unifier.unify(leftValue, rightValue, pathPrefix + name));
        if (left.isOptional(name) && right.isOptional(name)) {
            unified.markOptional(name);
        }
    }

    /** Adds a field that only one of the structs, the owner, has. */
    private void addUnmatchedField(
            String name,
            RecordValue.Struct owner,
            RecordValue.Struct other,
            RecordValue.Struct unified) {
        RecordValue value = owner.fields().get(name);
        if (other.isClosed()) {
            reportUnknownField(value, pathPrefix + name, other);
        }
        unified.put(name, value);
        if (owner.isOptional(name)) {
            unified.markOptional(name);
        }
    }

    private void reportUnknownField(RecordValue value, String field, RecordValue.Struct struct) {
        String name = field.substring(field.lastIndexOf('.') + 1);
        Optional<String> nearest = NameSuggestion.nearest(name, struct.fields().keySet());
        String suggestion = nearest.map(known -> "; did you mean " + known + "?").orElse("");
        faults.add(
                value.position(),
                field + ": there is no such field" + suggestion + " (" + struct.position() + ")");
    }
}
