package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A value, or a constraint that a value must meet. As in CUE both are of one kind, and unification
 * ({@link Unifier}) makes one of two. Structs and lists are filled while they are evaluated; all
 * others are immutable.
 */
sealed interface RecordValue {
    /** Where it was given. */
    SourcePosition position();

    /** How it would be written in a source; for faults. */
    String describe();

    /** The value if nothing more is given: the default alternative of disjunctions. */
    default RecordValue resolveDefaults() {
        RecordValue value = this;
        while (value instanceof Disjunction disjunction
                && disjunction.defaultAlternative().isPresent()) {
            value = disjunction.defaultAlternative().get();
        }
        return value;
    }

    /** Whether {@link #resolveDefaults} chooses an alternative. */
    default boolean hasDefault() {
        return this instanceof Disjunction disjunction
                && disjunction.defaultAlternative().isPresent();
    }

    /**
     * A single value.
     *
     * @param position where it was given
     * @param value a String, Double or Boolean
     * @param unit of a number; NONE for others
     */
    record Scalar(SourcePosition position, Object value, Unit unit) implements RecordValue {
        static Scalar of(SourcePosition position, Object value) {
            return new Scalar(position, value, Unit.NONE);
        }

        /** Whether both have the same value, whatever their units are. */
        boolean hasSameValueAs(Scalar other) {
            return value.equals(other.value);
        }

        @Override
        public String describe() {
            if (value instanceof String) {
                return "\"" + value + "\"";
            }
            return unit == Unit.NONE ? value.toString() : value + " (" + unit.label() + ")";
        }
    }

    /**
     * A type that the language has of its own.
     *
     * @param position where it was given
     * @param kind which type
     */
    record BasicType(SourcePosition position, BasicKind kind) implements RecordValue {
        @Override
        public String describe() {
            return kind.keyword();
        }
    }

    /**
     * A limit that a number must keep.
     *
     * @param position where it was given
     * @param operator compares the number with the limit
     * @param limit a number
     */
    record Bound(SourcePosition position, ComparisonOperator operator, Scalar limit)
            implements RecordValue {
        boolean isMetBy(double value) {
            return operator.holds(value, (Double) limit.value());
        }

        @Override
        public String describe() {
            return operator.symbol() + limit.value();
        }
    }

    /**
     * Several constraints that a value must meet, none given yet.
     *
     * @param position where the last of them was given
     * @param operands the constraints
     */
    record Conjunction(SourcePosition position, List<RecordValue> operands) implements RecordValue {
        @Override
        public String describe() {
            return describeAll(operands, " & ");
        }
    }

    /**
     * Several alternatives.
     *
     * @param position where the first of them was given
     * @param operands the alternatives
     * @param defaultAlternative the starred one, which is taken if nothing more is given
     */
    record Disjunction(
            SourcePosition position,
            List<RecordValue> operands,
            Optional<RecordValue> defaultAlternative)
            implements RecordValue {
        @Override
        public String describe() {
            return describeAll(operands, " | ");
        }
    }

    /**
     * Any number of elements that each meet one constraint.
     *
     * @param position where it was given
     * @param element what each element must meet
     */
    record ListOf(SourcePosition position, RecordValue element) implements RecordValue {
        @Override
        public String describe() {
            return "a list of " + element.describe();
        }
    }

    /** Whether a struct may be given fields that it doesn't name. */
    enum Openness {
        OPEN,
        CLOSED
    }

    /** Fields by name, in the order in which they were given. */
    final class Struct implements RecordValue {
        private final SourcePosition position;
        private final Openness openness;
        private final Map<String, RecordValue> fields = new LinkedHashMap<>();
        private final Set<String> optionalFields = new LinkedHashSet<>();

        Struct(SourcePosition position, Openness openness) {
            this.position = position;
            this.openness = openness;
        }

        @Override
        public SourcePosition position() {
            return position;
        }

        Openness openness() {
            return openness;
        }

        boolean isClosed() {
            return openness == Openness.CLOSED;
        }

        Map<String, RecordValue> fields() {
            return Collections.unmodifiableMap(fields);
        }

        Optional<RecordValue> field(String name) {
            return Optional.ofNullable(fields.get(name));
        }

        /** Sets a field; one that is replaced keeps its place. */
        void put(String name, RecordValue value) {
            fields.put(name, value);
        }

        boolean isOptional(String name) {
            return optionalFields.contains(name);
        }

        void markOptional(String name) {
            optionalFields.add(name);
        }

        /** Whether the field has a value: it is there and not just allowed to be. */
        boolean isGiven(String name) {
            RecordValue value = fields.get(name);
            return value != null && (!isOptional(name) || value.hasDefault());
        }

        @Override
        public String describe() {
            return "a record";
        }
    }

    /** Elements one by one. */
    final class ListValue implements RecordValue {
        private final SourcePosition position;
        private final List<RecordValue> elements = new ArrayList<>();

        ListValue(SourcePosition position) {
            this.position = position;
        }

        @Override
        public SourcePosition position() {
            return position;
        }

        List<RecordValue> elements() {
            return Collections.unmodifiableList(elements);
        }

        void add(RecordValue element) {
            elements.add(element);
        }

        @Override
        public String describe() {
            return "a list";
        }
    }

    private static String describeAll(List<RecordValue> operands, String separator) {
        return String.join(separator, operands.stream().map(RecordValue::describe).toList());
    }
}
