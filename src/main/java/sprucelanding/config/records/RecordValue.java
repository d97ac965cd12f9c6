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
 * Value, or constraint that a value must meet. As in CUE, values and constraints have one common
 * type, and unification ({@link Unifier}) combines two of them into one. Structs and lists are
 * filled while they are evaluated. All other values are immutable.
 */
sealed interface RecordValue {
    /** Returns the position at which the value was given. */
    SourcePosition position();

    /** Returns the value in the notation of a source, for faults. */
    String describe();

    /** Returns the default alternative of a disjunction that has one, otherwise this value. */
    default RecordValue resolveDefaults() {
        RecordValue value = this;
        while (value instanceof Disjunction disjunction
                && disjunction.defaultAlternative().isPresent()) {
            value = disjunction.defaultAlternative().get();
        }
        return value;
    }

    /** Returns whether this value is a disjunction with a default alternative. */
    default boolean hasDefault() {
        return this instanceof Disjunction disjunction
                && disjunction.defaultAlternative().isPresent();
    }

    /**
     * Single value.
     *
     * @param position position at which the value was given
     * @param value a String, Double or Boolean
     * @param unit unit of a number; NONE for other values
     */
    record Scalar(SourcePosition position, Object value, Unit unit) implements RecordValue {
        static Scalar of(SourcePosition position, Object value) {
            return new Scalar(position, value, Unit.NONE);
        }

        /** Returns whether both scalars have the same value. Ignores the units. */
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
     * Constraint to a built-in type of the language.
     *
     * @param position position at which the type was given
     * @param kind the built-in type
     */
    record BasicType(SourcePosition position, BasicKind kind) implements RecordValue {
        @Override
        public String describe() {
            return kind.keyword();
        }
    }

    /**
     * Constraint of a number by a limit.
     *
     * @param position position at which the bound was given
     * @param operator compares the number with the limit
     * @param limit a number
     */
    record Bound(SourcePosition position, ComparisonOperator operator, Scalar limit)
            implements RecordValue {
        boolean isSatisfiedBy(double value) {
            return operator.holds(value, (Double) limit.value());
        }

        @Override
        public String describe() {
            return operator.symbol() + limit.value();
        }
    }

    /**
     * Several constraints for a value that is not given yet.
     *
     * @param position position of the constraint that was given last
     * @param operands the constraints
     */
    record Conjunction(SourcePosition position, List<RecordValue> operands) implements RecordValue {
        @Override
        public String describe() {
            return describeAll(operands, " & ");
        }
    }

    /**
     * Several alternative values or constraints.
     *
     * @param position position of the alternative that was given first
     * @param operands the alternatives
     * @param defaultAlternative the alternative marked with a star, which applies if no value is
     *     given
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
     * Constraint of a list of any length by one constraint for every element.
     *
     * @param position position at which the constraint was given
     * @param element the constraint that each element must meet
     */
    record ListOf(SourcePosition position, RecordValue element) implements RecordValue {
        @Override
        public String describe() {
            return "a list of " + element.describe();
        }
    }

    /** Openness of a struct. Only an open struct accepts fields that it does not name. */
    enum Openness {
        OPEN,
        CLOSED
    }

    /** Struct of fields by name, in the order in which the fields were given. */
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

        /** Sets a field. A replaced field keeps its place in the order. */
        void put(String name, RecordValue value) {
            fields.put(name, value);
        }

        boolean isOptional(String name) {
            return optionalFields.contains(name);
        }

        void markOptional(String name) {
            optionalFields.add(name);
        }

        /**
         * Returns whether the field has a value. An optional field without a default has none,
         * because it is only allowed, not given.
         */
        boolean isGiven(String name) {
            RecordValue value = fields.get(name);
            return value != null && (!isOptional(name) || value.hasDefault());
        }

        @Override
        public String describe() {
            return "a record";
        }
    }

    /** List with all of its elements. */
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
