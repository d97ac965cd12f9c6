package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Unifier of two values or constraints. The result meets both. If no value can meet both, the
 * unifier adds a fault with both positions and returns one of the two, so that unification
 * continues and finds further faults.
 */
final class Unifier {
    private final Faults faults;

    Unifier(Faults faults) {
        this.faults = faults;
    }

    /**
     * Unifies two values.
     *
     * @param field path of the field that has both values; empty for the top level
     */
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
            return new RecordValue.Conjunction(right.position(), constraints);
        }
        if (left instanceof RecordValue.Conjunction conjunction) {
            RecordValue unified = right;
            for (RecordValue operand : conjunction.operands()) {
                unified = unify(operand, unified, field);
            }
            return unified;
        }
        if (right instanceof RecordValue.Scalar scalar) {
            return unifyWithScalar(left, scalar, field);
        }
        if (isConstraint(right) && left instanceof RecordValue.Scalar) {
            return unify(right, left, field);
        }
        if (left instanceof RecordValue.Struct leftStruct
                && right instanceof RecordValue.Struct rightStruct) {
            return new StructUnifier(this, faults, field).unify(leftStruct, rightStruct);
        }
        return unifyLists(left, right, field);
    }

    private static boolean isConstraint(RecordValue value) {
        return value instanceof RecordValue.BasicType
                || value instanceof RecordValue.Bound
                || value instanceof RecordValue.Conjunction;
    }

    private static List<RecordValue> constraintsOf(RecordValue value) {
        return value instanceof RecordValue.Conjunction conjunction
                ? conjunction.operands()
                : List.of(value);
    }

    private RecordValue unifyWithScalar(RecordValue left, RecordValue.Scalar scalar, String field) {
        if (left instanceof RecordValue.Scalar leftScalar) {
            return leftScalar.hasSameValueAs(scalar)
                    ? left
                    : reportConflict(
                            left,
                            scalar,
                            field,
                            left.describe() + " and " + scalar.describe() + " differ");
        }
        if (left instanceof RecordValue.BasicType type && type.kind().includes(scalar)) {
            return scalar;
        }
        if (left instanceof RecordValue.Bound bound
                && scalar.value() instanceof Double number
                && bound.isSatisfiedBy(number)) {
            return scalar;
        }
        return reportMismatch(left, scalar, field);
    }

    private RecordValue unifyLists(RecordValue left, RecordValue right, String field) {
        if (left instanceof RecordValue.ListOf listOf
                && right instanceof RecordValue.ListValue list) {
            return unifyElementsWith(listOf, list, field);
        }
        if (left instanceof RecordValue.ListValue list
                && right instanceof RecordValue.ListOf listOf) {
            return unifyElementsWith(listOf, list, field);
        }
        if (left instanceof RecordValue.ListOf leftListOf
                && right instanceof RecordValue.ListOf rightListOf) {
            return new RecordValue.ListOf(
                    right.position(), unify(leftListOf.element(), rightListOf.element(), field));
        }
        if (left instanceof RecordValue.ListValue leftList
                && right instanceof RecordValue.ListValue rightList
                && leftList.elements().size() == rightList.elements().size()) {
            return unifyElements(leftList.elements(), rightList, field);
        }
        return reportMismatch(left, right, field);
    }

    private RecordValue unifyElementsWith(
            RecordValue.ListOf listOf, RecordValue.ListValue list, String field) {
        List<RecordValue> constraints =
                Collections.nCopies(list.elements().size(), listOf.element());
        return unifyElements(constraints, list, field);
    }

    private RecordValue unifyElements(
            List<RecordValue> left, RecordValue.ListValue right, String field) {
        RecordValue.ListValue unified = new RecordValue.ListValue(right.position());
        for (int i = 0; i < left.size(); i++) {
            RecordValue element = right.elements().get(i);
            unified.add(unify(left.get(i), element, field + "[" + i + "]"));
        }
        return unified;
    }

    private RecordValue reportMismatch(RecordValue expected, RecordValue found, String field) {
        String expectation =
                expected instanceof RecordValue.BasicType type
                                && found instanceof RecordValue.Scalar
                        ? type.kind().expectation()
                        : expected.describe();
        return reportConflict(
                found, expected, field, "expected " + expectation + ", found " + found.describe());
    }

    private RecordValue reportConflict(
            RecordValue value, RecordValue other, String field, String problem) {
        String prefix = field.isEmpty() ? "" : field + ": ";
        faults.add(value.position(), prefix + problem + " (" + other.position() + ")");
        return value;
    }

    private RecordValue unifyDisjunction(
            RecordValue.Disjunction disjunction, RecordValue value, String field) {
        List<RecordValue> matching = new ArrayList<>();
        Optional<RecordValue> defaultAlternative = Optional.empty();
        Faults sameShapeFaults = new Faults();
        for (RecordValue alternative : disjunction.operands()) {
            Faults trialFaults = new Faults();
            RecordValue unified = new Unifier(trialFaults).unify(alternative, value, field);
            if (trialFaults.isEmpty()) {
                matching.add(unified);
                if (isDefault(alternative, disjunction)) {
                    defaultAlternative = Optional.of(unified);
                }
            } else if (haveSameShape(alternative, value)) {
                sameShapeFaults.addAll(trialFaults);
            }
        }
        if (matching.isEmpty()) {
            return reportNoAlternative(disjunction, value, field, sameShapeFaults);
        }
        if (value instanceof RecordValue.Scalar
                || matching.size() == 1 && defaultAlternative.isEmpty()) {
            return matching.get(0);
        }
        return new RecordValue.Disjunction(value.position(), matching, defaultAlternative);
    }

    /**
     * Returns whether an alternative is the default. Compares by identity, because an equal
     * alternative without a star is not the default.
     */
    private static boolean isDefault(RecordValue alternative, RecordValue.Disjunction disjunction) {
        return disjunction.defaultAlternative().orElse(null) == alternative;
    }

    private static boolean haveSameShape(RecordValue left, RecordValue right) {
        return left.getClass() == right.getClass();
    }

    /**
     * Reports that no alternative matches. Reports the faults of a struct against the only struct
     * among the alternatives, because they are more specific than a list of alternatives.
     */
    private RecordValue reportNoAlternative(
            RecordValue.Disjunction disjunction,
            RecordValue value,
            String field,
            Faults sameShapeFaults) {
        long sameShapeCount =
                disjunction.operands().stream()
                        .filter(alternative -> haveSameShape(alternative, value))
                        .count();
        if (sameShapeCount == 1 && value instanceof RecordValue.Struct) {
            faults.addAll(sameShapeFaults);
            return value;
        }
        return reportMismatch(disjunction, value, field);
    }
}
