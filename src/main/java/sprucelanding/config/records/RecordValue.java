package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A value, or a constraint that a value must meet; the two are of one kind, as in CUE, and meet
 * makes one of both.
 */
abstract class RecordValue {
    final SourcePosition position;

    RecordValue(SourcePosition position) {
        this.position = position;
    }

    /** How a person would write it. */
    abstract String describe();

    /** A string, number (ms, shares, plain) or truth. */
    static final class Scalar extends RecordValue {
        final Object value;
        final String unit;

        Scalar(SourcePosition position, Object value, String unit) {
            super(position);
            this.value = value;
            this.unit = unit;
        }

        @Override
        String describe() {
            return value instanceof String
                    ? "\"" + value + "\""
                    : value + (unit.isEmpty() ? "" : " (" + unit + ")");
        }
    }

    /** string, int, number, bool, time, share, rate. */
    static final class BasicType extends RecordValue {
        static final Set<String> NAMES =
                Set.of("string", "int", "number", "bool", "time", "share", "rate");
        final String name;

        BasicType(SourcePosition position, String name) {
            super(position);
            this.name = name;
        }

        /** Why a value is not of this type; null if it is. */
        String mismatch(Scalar scalar) {
            boolean matches =
                    switch (name) {
                        case "string" -> scalar.value instanceof String;
                        case "bool" -> scalar.value instanceof Boolean;
                        case "int" ->
                                scalar.value instanceof Double number
                                        && number == Math.rint(number)
                                        && scalar.unit.isEmpty();
                        case "number" -> scalar.value instanceof Double && scalar.unit.isEmpty();
                        case "time" ->
                                scalar.value instanceof Double number
                                        && (scalar.unit.equals("time") || number == 0);
                        case "share" ->
                                scalar.value instanceof Double number
                                        && (scalar.unit.equals("share")
                                                || scalar.unit.isEmpty() && number <= 1);
                        default ->
                                scalar.value instanceof Double
                                        && (scalar.unit.equals("rate") || scalar.unit.isEmpty());
                    };
            return matches ? null : "expected " + expectation() + ", found " + scalar.describe();
        }

        private String expectation() {
            return switch (name) {
                case "time" -> "a time (ms, s or min)";
                case "share" -> "a share (such as 40%)";
                case "rate" -> "a rate (such as 200/s)";
                case "int" -> "a whole number";
                case "bool" -> "true or false";
                default -> "a " + name;
            };
        }

        @Override
        String describe() {
            return name;
        }
    }

    static final class Bound extends RecordValue {
        final String operator;
        final Scalar limit;

        Bound(SourcePosition position, String operator, Scalar limit) {
            super(position);
            this.operator = operator;
            this.limit = limit;
        }

        boolean isMetBy(double value) {
            double bound = (Double) limit.value;
            return switch (operator) {
                case ">=" -> value >= bound;
                case "<=" -> value <= bound;
                case ">" -> value > bound;
                case "<" -> value < bound;
                default -> value != bound;
            };
        }

        @Override
        String describe() {
            return operator + limit.value;
        }
    }

    /** All of several constraints that no value was given for yet. */
    static final class Conjunction extends RecordValue {
        final List<RecordValue> operands;

        Conjunction(SourcePosition position, List<RecordValue> operands) {
            super(position);
            this.operands = operands;
        }

        @Override
        String describe() {
            return String.join(" & ", operands.stream().map(RecordValue::describe).toList());
        }
    }

    static final class Disjunction extends RecordValue {
        final List<RecordValue> operands;

        /** Taken if nothing else is said; null if there is none. */
        final RecordValue defaultAlternative;

        Disjunction(
                SourcePosition position,
                List<RecordValue> operands,
                RecordValue defaultAlternative) {
            super(position);
            this.operands = operands;
            this.defaultAlternative = defaultAlternative;
        }

        @Override
        String describe() {
            return String.join(" | ", operands.stream().map(RecordValue::describe).toList());
        }
    }

    static final class Struct extends RecordValue {
        final Map<String, RecordValue> fields = new LinkedHashMap<>();
        final Set<String> optionalFields = new LinkedHashSet<>();

        /** A definition's record has the fields it names and no others. */
        final boolean closed;

        Struct(SourcePosition position, boolean closed) {
            super(position);
            this.closed = closed;
        }

        @Override
        String describe() {
            return "a record";
        }
    }

    static final class ListValue extends RecordValue {
        final List<RecordValue> elements = new ArrayList<>();

        ListValue(SourcePosition position) {
            super(position);
        }

        @Override
        String describe() {
            return "a list";
        }
    }

    /** Any number of items that each meet one constraint. */
    static final class ListOf extends RecordValue {
        final RecordValue element;

        ListOf(SourcePosition position, RecordValue element) {
            super(position);
            this.element = element;
        }

        @Override
        String describe() {
            return "a list of " + element.describe();
        }
    }

    /** What it comes to if nothing else is said: through alternatives, the starred ones. */
    final RecordValue resolveDefaults() {
        RecordValue value = this;
        while (value instanceof Disjunction disjunction && disjunction.defaultAlternative != null) {
            value = disjunction.defaultAlternative;
        }
        return value;
    }

    static boolean hasSameValue(Scalar left, Scalar right) {
        return Objects.equals(left.value, right.value);
    }
}
