package sprucelanding.config.records;

import static sprucelanding.config.records.SyntaxTrees.positionOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.antlr.v4.runtime.tree.TerminalNode;
import sprucelanding.config.records.RecordValue.Openness;
import sprucelanding.config.records.RecordsParser.ClauseContext;
import sprucelanding.config.records.RecordsParser.EachContext;
import sprucelanding.config.records.RecordsParser.ElementContext;
import sprucelanding.config.records.RecordsParser.WhereContext;

/**
 * Evaluator of list elements. Evaluates single elements and comprehensions. The first {@code for}
 * or {@code if} clause of a comprehension is the outermost one. One limit applies to the total
 * number of items of all comprehensions of a package.
 */
final class ComprehensionEvaluator {
    private static final int MAX_ITEMS = 1_000_000;

    private final Scope scope;
    private final ExpressionEvaluator evaluator;
    private final Faults faults;
    private int itemCount;

    ComprehensionEvaluator(Scope scope, ExpressionEvaluator evaluator, Faults faults) {
        this.scope = scope;
        this.evaluator = evaluator;
        this.faults = faults;
    }

    /** Adds a single element, or all items of a comprehension, to a list. */
    void addElements(ElementContext element, RecordValue.ListValue list) {
        if (element.clause().isEmpty()) {
            list.add(evaluator.evaluate(element.expr(), Openness.OPEN));
        } else {
            applyClauses(element, 0, list);
        }
    }

    private void applyClauses(ElementContext element, int clauseIndex, RecordValue.ListValue list) {
        if (clauseIndex == element.clause().size()) {
            addItem(element, list);
            return;
        }
        ClauseContext clause = element.clause(clauseIndex);
        if (clause instanceof EachContext loop) {
            iterate(loop, element, clauseIndex, list);
        } else if (conditionHolds((WhereContext) clause)) {
            applyClauses(element, clauseIndex + 1, list);
        }
    }

    private void addItem(ElementContext element, RecordValue.ListValue list) {
        itemCount++;
        if (itemCount == MAX_ITEMS + 1) {
            faults.add(positionOf(element), "more than " + MAX_ITEMS + " items");
        }
        if (itemCount > MAX_ITEMS) {
            return;
        }
        RecordValue.Struct struct = new RecordValue.Struct(positionOf(element), Openness.OPEN);
        element.field().forEach(field -> evaluator.addField(struct, field, Openness.OPEN));
        list.add(struct);
    }

    private void iterate(
            EachContext loop, ElementContext element, int clauseIndex, RecordValue.ListValue list) {
        RecordValue iterated = evaluator.evaluate(loop.expr(), Openness.OPEN);
        if (!(iterated instanceof RecordValue.ListValue iteratedList)) {
            faults.add(positionOf(loop), "for: expected a list, found " + iterated.describe());
            return;
        }
        List<RecordValue> items = iteratedList.elements();
        String itemVariable = lastOf(loop.IDENT()).getText();
        Optional<String> indexVariable = indexVariableOf(loop);
        Map<String, RecordValue> outerVariables = scope.copyLoopVariables();
        for (int i = 0; i < items.size() && itemCount <= MAX_ITEMS; i++) {
            scope.setLoopVariable(itemVariable, items.get(i));
            if (indexVariable.isPresent()) {
                scope.setLoopVariable(
                        indexVariable.get(), RecordValue.Scalar.of(positionOf(loop), (double) i));
            }
            applyClauses(element, clauseIndex + 1, list);
        }
        scope.restoreLoopVariables(outerVariables);
    }

    private static Optional<String> indexVariableOf(EachContext loop) {
        return loop.IDENT().size() > 1 ? Optional.of(loop.IDENT(0).getText()) : Optional.empty();
    }

    private static TerminalNode lastOf(List<TerminalNode> nodes) {
        return nodes.get(nodes.size() - 1);
    }

    private boolean conditionHolds(WhereContext condition) {
        RecordValue left = evaluator.evaluate(condition.expr(0), Openness.OPEN);
        RecordValue right = evaluator.evaluate(condition.expr(1), Openness.OPEN);
        if (!(left instanceof RecordValue.Scalar leftScalar)
                || !(right instanceof RecordValue.Scalar rightScalar)
                || leftScalar.value().getClass() != rightScalar.value().getClass()) {
            faults.add(
                    positionOf(condition),
                    "if: " + left.describe() + " and " + right.describe() + " cannot be compared");
            return false;
        }
        ComparisonOperator operator = ComparisonOperator.ofSymbol(condition.op.getText());
        if (operator.isEquality()) {
            boolean areEqual = leftScalar.hasSameValueAs(rightScalar);
            return areEqual == (operator == ComparisonOperator.EQUAL);
        }
        if (!(leftScalar.value() instanceof Double leftNumber)) {
            faults.add(positionOf(condition), "if: " + left.describe() + " has no order");
            return false;
        }
        return operator.holds(leftNumber, (Double) rightScalar.value());
    }
}
