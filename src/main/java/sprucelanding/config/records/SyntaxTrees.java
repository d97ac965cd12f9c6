package sprucelanding.config.records;

import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import sprucelanding.config.records.RecordsParser.FieldContext;

/** Accessors of syntax tree properties that several evaluators read. */
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

    /** Returns the name of a field without quotes. The name of a definition includes the #. */
    static String labelOf(FieldContext field) {
        String text = field.label.getText();
        return field.label.getType() == RecordsParser.STRING ? unquote(text) : text;
    }

    static boolean isDefinition(String label) {
        return label.startsWith(DEFINITION_PREFIX);
    }

    /** Returns the content of a quoted string with escape sequences replaced. */
    static String unquote(String text) {
        return text.substring(1, text.length() - 1)
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\\"", "\"")
                .replace("\\\\", "\\");
    }
}
