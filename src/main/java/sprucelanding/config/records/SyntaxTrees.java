package sprucelanding.config.records;

import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import sprucelanding.config.records.RecordsParser.FieldContext;

/** What several evaluators read from a syntax tree. */
final class SyntaxTrees {
    private static final String DEFINITION_PREFIX = "#";

    private SyntaxTrees() {}

    static SourcePosition positionOf(ParserRuleContext context) {
        Token token = context.getStart();
        return new SourcePosition(
                token.getTokenSource().getSourceName(),
                token.getLine(),
                token.getCharPositionInLine() + 1);
    }

    /** A field's name, whether it is quoted or not; definitions with their #. */
    static String labelOf(FieldContext field) {
        String text = field.label.getText();
        return field.label.getType() == RecordsParser.STRING ? unquote(text) : text;
    }

    static boolean isDefinition(String label) {
        return label.startsWith(DEFINITION_PREFIX);
    }

    /** The content of a quoted string, with its escapes replaced. */
    static String unquote(String text) {
        return text.substring(1, text.length() - 1)
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\\"", "\"")
                .replace("\\\\", "\\");
    }
}
