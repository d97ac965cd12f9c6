package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.List;

/** One of two: a value that is both. What cannot be is a fault, with both sides' places. */
final class Unifier {
    private final List<String> faults;

    Unifier(List<String> faults) {
        this.faults = faults;
    }

    RecordValue unify(RecordValue left, RecordValue right, String field) {
        if (left instanceof RecordValue.Disjunction disjunction) {
            return unifyDisjunction(disjunction, right, field);
        }
        if (right instanceof RecordValue.Disjunction disjunction) {
            return unifyDisjunction(disjunction, left, field);
        }
        if (isConstraint(left) && isConstraint(right)) {
            List<RecordValue> constraints = new ArrayList<>(constraintsOf(left));
            constraints.addAll(constraintsOf(right));
            return new RecordValue.Conjunction(right.position, constraints);
        }
        if (left instanceof RecordValue.Conjunction conjunction) {
            RecordValue unified = right;
            for (RecordValue operand : conjunction.operands) {
                unified = unify(operand, unified, field);
            }
            return unified;
        }
        if (left instanceof RecordValue.Scalar leftScalar
                && right instanceof RecordValue.Scalar rightScalar) {
            return RecordValue.hasSameValue(leftScalar, rightScalar)
                    ? left
                    : reportConflict(
                            left,
                            right,
                            field,
                            leftScalar.describe() + " and " + rightScalar.describe() + " differ");
        }
        if (left instanceof RecordValue.BasicType type
                && right instanceof RecordValue.Scalar scalar) {
            String fault = type.mismatch(scalar);
            return fault == null ? right : reportConflict(right, left, field, fault);
        }
        if (left instanceof RecordValue.Bound bound && right instanceof RecordValue.Scalar scalar) {
            boolean isMet = scalar.value instanceof Double number && bound.isMetBy(number);
            return isMet
                    ? right
                    : reportConflict(
                            right,
                            left,
                            field,
                            "expected " + bound.describe() + ", found " + scalar.describe());
        }
        if (isConstraint(right) && left instanceof RecordValue.Scalar) {
            return unify(right, left, field);
        }
        if (left instanceof RecordValue.Struct leftStruct
                && right instanceof RecordValue.Struct rightStruct) {
            return unifyStructs(leftStruct, rightStruct, field);
        }
        if (left instanceof RecordValue.ListOf listOf
                && right instanceof RecordValue.ListValue list) {
            RecordValue.ListValue unifiedList = new RecordValue.ListValue(right.position);
            for (int i = 0; i < list.elements.size(); i++) {
                unifiedList.elements.add(
                        unify(listOf.element, list.elements.get(i), field + "[" + i + "]"));
            }
            return unifiedList;
        }
        if (left instanceof RecordValue.ListValue && right instanceof RecordValue.ListOf) {
            return unify(right, left, field);
        }
        if (left instanceof RecordValue.ListOf leftListOf
                && right instanceof RecordValue.ListOf rightListOf) {
            return new RecordValue.ListOf(
                    right.position, unify(leftListOf.element, rightListOf.element, field));
        }
        if (left instanceof RecordValue.ListValue leftList
                && right instanceof RecordValue.ListValue rightList
                && leftList.elements.size() == rightList.elements.size()) {
            RecordValue.ListValue unifiedList = new RecordValue.ListValue(right.position);
            for (int i = 0; i < leftList.elements.size(); i++) {
                unifiedList.elements.add(
                        unify(
                                leftList.elements.get(i),
                                rightList.elements.get(i),
                                field + "[" + i + "]"));
            }
            return unifiedList;
        }
        return reportConflict(
                right, left, field, "expected " + left.describe() + ", found " + right.describe());
    }

    private static boolean isConstraint(RecordValue value) {
        return value instanceof RecordValue.BasicType
                || value instanceof RecordValue.Bound
                || value instanceof RecordValue.Conjunction;
    }

    private static List<RecordValue> constraintsOf(RecordValue value) {
        return value instanceof RecordValue.Conjunction conjunction
                ? conjunction.operands
                : List.of(value);
    }

    private RecordValue reportConflict(
            RecordValue value, RecordValue other, String field, String problem) {
        faults.add(
                value.position
                        + ": "
                        + (field.isEmpty() ? "" : field + ": ")
                        + problem
                        + " ("
                        + other.position
                        + ")");
        return value;
    }

    private RecordValue unifyDisjunction(
            RecordValue.Disjunction disjunction, RecordValue value, String field) {
        List<RecordValue> matching = new ArrayList<>();
        RecordValue defaultAlternative = null;
        List<String> alternativeFaults = new ArrayList<>();
        for (RecordValue alternative : disjunction.operands) {
            List<String> trialFaults = new ArrayList<>();
            RecordValue unified = new Unifier(trialFaults).unify(alternative, value, field);
            if (trialFaults.isEmpty()) {
                matching.add(unified);
                defaultAlternative =
                        alternative == disjunction.defaultAlternative
                                ? unified
                                : defaultAlternative;
            } else if (alternative.getClass() == value.getClass()) {
                alternativeFaults.addAll(trialFaults);
            }
        }
        if (matching
                .isEmpty()) { // the faults of the one alternative of its shape say more than a list
            // of alternatives
            if (disjunction.operands.stream()
                                    .filter(
                                            alternative ->
                                                    alternative.getClass() == value.getClass())
                                    .count()
                            == 1
                    && value instanceof RecordValue.Struct) {
                faults.addAll(alternativeFaults);
                return value;
            }
            return reportConflict(
                    value,
                    disjunction,
                    field,
                    "expected " + disjunction.describe() + ", found " + value.describe());
        }
        if (value instanceof RecordValue.Scalar
                || matching.size() == 1 && defaultAlternative == null) {
            return matching.get(0);
        }
        return new RecordValue.Disjunction(value.position, matching, defaultAlternative);
    }

    private RecordValue unifyStructs(
            RecordValue.Struct left, RecordValue.Struct right, String field) {
        RecordValue.Struct unified =
                new RecordValue.Struct(
                        right.closed ? left.position : right.position, left.closed || right.closed);
        String prefix = field.isEmpty() ? "" : field + ".";
        left.fields.forEach(
                (name, value) -> {
                    RecordValue other = right.fields.get(name);
                    if (other == null && right.closed) {
                        reportUnknownField(value, prefix + name, right);
                    }
                    unified.fields.put(
                            name, other == null ? value : unify(value, other, prefix + name));
                    if (left.optionalFields.contains(name)
                            && (other == null || right.optionalFields.contains(name))) {
                        unified.optionalFields.add(name);
                    }
                });
        right.fields.forEach(
                (name, value) -> {
                    if (!left.fields.containsKey(name)) {
                        if (left.closed) {
                            reportUnknownField(value, prefix + name, left);
                        }
                        unified.fields.put(name, value);
                        if (right.optionalFields.contains(name)) {
                            unified.optionalFields.add(name);
                        }
                    }
                });
        return unified;
    }

    private void reportUnknownField(RecordValue value, String field, RecordValue.Struct struct) {
        String name = field.substring(field.lastIndexOf('.') + 1);
        String closest =
                struct.fields.keySet().stream()
                        .min(
                                (first, second) ->
                                        editDistance(first, name) - editDistance(second, name))
                        .orElse("");
        faults.add(
                value.position
                        + ": "
                        + field
                        + ": there is no such field"
                        + (!closest.isEmpty()
                                        && editDistance(closest, name) <= 1 + name.length() / 3
                                ? "; did you mean " + closest + "?"
                                : "")
                        + " ("
                        + struct.position
                        + ")");
    }

    /** Levenshtein's. */
    static int editDistance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int next =
                        Math.min(
                                Math.min(row[j], row[j - 1]) + 1,
                                diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[right.length()];
    }
}
