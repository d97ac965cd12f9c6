package sprucelanding.config.records;

import static sprucelanding.config.records.SyntaxTrees.positionOf;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sprucelanding.config.records.RecordValue.Openness;
import sprucelanding.config.records.RecordsParser.BoundContext;
import sprucelanding.config.records.RecordsParser.ExprContext;
import sprucelanding.config.records.RecordsParser.FieldContext;
import sprucelanding.config.records.RecordsParser.GroupContext;
import sprucelanding.config.records.RecordsParser.ListContext;
import sprucelanding.config.records.RecordsParser.ListOfContext;
import sprucelanding.config.records.RecordsParser.MeetContext;
import sprucelanding.config.records.RecordsParser.NumberContext;
import sprucelanding.config.records.RecordsParser.PlainContext;
import sprucelanding.config.records.RecordsParser.PreferredContext;
import sprucelanding.config.records.RecordsParser.PrimaryContext;
import sprucelanding.config.records.RecordsParser.RecordContext;
import sprucelanding.config.records.RecordsParser.ReferenceContext;
import sprucelanding.config.records.RecordsParser.StringContext;
import sprucelanding.config.records.RecordsParser.TruthContext;
import sprucelanding.config.records.RecordsParser.UnaryContext;

/**
 * Evaluator of the expressions of one package. Evaluates expressions to values. Methods pass the
 * openness of structs on to nested expressions. Structs within a definition are closed unless they
 * end with {@code ...}.
 */
final class ExpressionEvaluator {
    private static final String OPEN_STRUCT_END = "...}";

    private final Faults faults;
    private final ReferenceResolver references;
    private final StringInterpolation interpolation;
    private final ComprehensionEvaluator comprehensions;

    ExpressionEvaluator(Scope scope, Faults faults) {
        this.faults = faults;
        this.references = new ReferenceResolver(scope, this, faults);
        this.interpolation = new StringInterpolation(references, faults);
        this.comprehensions = new ComprehensionEvaluator(scope, this, faults);
    }

    /** Returns the value of a definition, field or imported package. */
    RecordValue resolveName(String name, SourcePosition referencedFrom) {
        return references.resolveName(name, referencedFrom);
    }

    /**
     * Adds a field to a struct. Unifies the value with the value that the struct already has for
     * the field.
     */
    void addField(RecordValue.Struct struct, FieldContext field, Openness openness) {
        String name = SyntaxTrees.labelOf(field);
        RecordValue value = fieldValue(field, openness);
        Optional<RecordValue> previous = struct.field(name);
        struct.put(
                name,
                previous.isPresent()
                        ? new Unifier(faults).unify(previous.get(), value, name)
                        : value);
        if (field.optional != null) {
            struct.markOptional(name);
        }
    }

    /** Returns the value of a field. Reads {@code a: b: c} as {@code a: {b: c}}. */
    RecordValue fieldValue(FieldContext field, Openness openness) {
        if (field.nested == null) {
            return evaluate(field.expr(), openness);
        }
        RecordValue.Struct struct = new RecordValue.Struct(positionOf(field.nested), openness);
        addField(struct, field.nested, openness);
        return struct;
    }

    /**
     * Returns the value of an expression. Returns a disjunction if the expression has alternatives
     * or a default.
     */
    RecordValue evaluate(ExprContext expression, Openness openness) {
        List<RecordValue> alternatives = new ArrayList<>();
        Optional<RecordValue> defaultAlternative = Optional.empty();
        for (MeetContext conjunction : expression.meet()) {
            RecordValue alternative = evaluateConjunction(conjunction, openness);
            alternatives.add(alternative);
            if (isPreferred(conjunction)) {
                defaultAlternative = Optional.of(alternative);
            }
        }
        if (alternatives.size() == 1 && defaultAlternative.isEmpty()) {
            return alternatives.get(0);
        }
        return new RecordValue.Disjunction(
                positionOf(expression), alternatives, defaultAlternative);
    }

    private static boolean isPreferred(MeetContext conjunction) {
        return conjunction.unary().stream().anyMatch(PreferredContext.class::isInstance);
    }

    private RecordValue evaluateConjunction(MeetContext conjunction, Openness openness) {
        RecordValue unified = null;
        for (UnaryContext operandContext : conjunction.unary()) {
            RecordValue operand = evaluateUnary(operandContext, openness);
            unified = unified == null ? operand : new Unifier(faults).unify(unified, operand, "");
        }
        return unified;
    }

    private RecordValue evaluateUnary(UnaryContext context, Openness openness) {
        if (context instanceof PreferredContext preferred) {
            return evaluateUnary(preferred.unary(), openness);
        }
        if (context instanceof BoundContext bound) {
            SourcePosition position = positionOf(bound);
            return new RecordValue.Bound(
                    position,
                    ComparisonOperator.ofSymbol(bound.op.getText()),
                    NumberLiteral.parse(position, bound.NUMBER().getText()));
        }
        return evaluatePrimary(((PlainContext) context).primary(), openness);
    }

    private RecordValue evaluatePrimary(PrimaryContext context, Openness openness) {
        SourcePosition position = positionOf(context);
        if (context instanceof RecordContext structContext) {
            return evaluateStruct(structContext, openness);
        }
        if (context instanceof ListContext listContext) {
            RecordValue.ListValue list = new RecordValue.ListValue(position);
            listContext.element().forEach(element -> comprehensions.addElements(element, list));
            return list;
        }
        if (context instanceof ListOfContext listOfContext) {
            return new RecordValue.ListOf(position, evaluate(listOfContext.expr(), openness));
        }
        if (context instanceof StringContext stringContext) {
            String quoted = stringContext.STRING().getText();
            return RecordValue.Scalar.of(position, interpolation.evaluate(position, quoted));
        }
        if (context instanceof NumberContext numberContext) {
            return NumberLiteral.parse(position, numberContext.NUMBER().getText());
        }
        if (context instanceof TruthContext booleanContext) {
            return RecordValue.Scalar.of(position, booleanContext.getText().equals("true"));
        }
        if (context instanceof GroupContext groupContext) {
            return evaluate(groupContext.expr(), openness);
        }
        return references.resolve((ReferenceContext) context);
    }

    private RecordValue evaluateStruct(RecordContext context, Openness openness) {
        boolean endsOpen = context.getText().endsWith(OPEN_STRUCT_END);
        RecordValue.Struct struct =
                new RecordValue.Struct(positionOf(context), endsOpen ? Openness.OPEN : openness);
        context.field().forEach(field -> addField(struct, field, openness));
        return struct;
    }
}
