package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.Token;

/**
 * Formatter of sources. Indents each level by a tab, and keeps at most one blank line between
 * lines. Writes one space between tokens and no space inside brackets. Keeps line breaks and
 * comments in place. Formatting is idempotent.
 */
public final class RecordFormatter {
    private static final Set<String> OPENING_BRACKETS = Set.of("{", "[", "(");
    private static final Set<String> CLOSING_BRACKETS = Set.of("}", "]", ")");
    private static final Set<String> NO_SPACE_BEFORE = Set.of(",", ":", "?", "]", ")", "}", ".");
    private static final Set<String> NO_SPACE_AFTER =
            Set.of("{", "[", "(", ".", "*", "...", "<", ">", "<=", ">=", "!=");
    private static final String COMMENT_START = "//";

    private final StringBuilder formatted = new StringBuilder();

    /** Lines of the brackets that are not closed yet, outermost first. */
    private final List<Integer> openBracketLines = new ArrayList<>();

    private RecordFormatter() {}

    /**
     * Formats a text.
     *
     * @param name name of the text in faults
     * @throws InvalidRecordsException if the text has syntax errors
     */
    public static String format(String name, String text) throws InvalidRecordsException {
        Faults faults = new Faults();
        SourceParser.parse(new Source(name, text), faults);
        faults.throwIfAny();
        RecordFormatter formatter = new RecordFormatter();
        Token previous = null;
        for (Token token : new RecordsLexer(CharStreams.fromString(text, name)).getAllTokens()) {
            formatter.append(token, previous);
            previous = token;
        }
        return formatter.result();
    }

    private void append(Token token, Token previous) {
        String text = token.getText().stripTrailing();
        if (CLOSING_BRACKETS.contains(text)) {
            openBracketLines.remove(openBracketLines.size() - 1);
        }
        if (previous == null || token.getLine() > previous.getLine()) {
            appendLineStart(token, previous);
        } else if (needsSpaceBetween(previous.getText(), text)) {
            formatted.append(' ');
        }
        formatted.append(text);
        if (OPENING_BRACKETS.contains(text)) {
            openBracketLines.add(token.getLine());
        }
    }

    private void appendLineStart(Token token, Token previous) {
        if (previous != null) {
            boolean hasBlankLine = token.getLine() > previous.getLine() + 1;
            formatted.append(hasBlankLine ? "\n\n" : "\n");
        }
        // All brackets that are opened on one line add a single level of indentation.
        long levels = openBracketLines.stream().distinct().count();
        formatted.append("\t".repeat((int) levels));
    }

    private static boolean needsSpaceBetween(String previous, String text) {
        if (text.startsWith(COMMENT_START)) {
            return true;
        }
        boolean isStructInList = text.equals("{") && previous.equals("[");
        return !NO_SPACE_BEFORE.contains(text)
                && !isStructInList
                && !NO_SPACE_AFTER.contains(previous);
    }

    private String result() {
        return formatted.isEmpty() ? "" : formatted.append('\n').toString();
    }
}
