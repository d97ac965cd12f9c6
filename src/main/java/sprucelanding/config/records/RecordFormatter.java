package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.Token;

/**
 * One look for files of records: a tab a level, one space between words, none inside brackets but
 * braces keep theirs off, at most one blank line. Lines stay where they were broken, and comments
 * where they stood; a text that cannot be read is left alone.
 */
public final class RecordFormatter {
    private RecordFormatter() {}

    /** The text anew; throws Invalid with its faults. The same again for what came out of it. */
    public static String format(String name, String text) throws InvalidRecordsException {
        List<String> faults = new ArrayList<>();
        RecordReader.parse(new RecordReader.Source(name, text), faults);
        if (!faults.isEmpty()) {
            throw new InvalidRecordsException(faults);
        }
        List<Token> tokens =
                new ArrayList<>(
                        new RecordsLexer(CharStreams.fromString(text, name))
                                .getAllTokens().stream().map(token -> (Token) token).toList());
        StringBuilder formatted = new StringBuilder();
        List<Integer> openBracketLines = new ArrayList<>(); // the lines of brackets not closed yet
        Token previous = null;
        for (Token token : tokens) {
            String tokenText = token.getText().stripTrailing();
            boolean isClosing =
                    tokenText.equals("}") || tokenText.equals("]") || tokenText.equals(")");
            if (isClosing) {
                openBracketLines.remove(openBracketLines.size() - 1);
            }
            if (previous == null || token.getLine() > previous.getLine()) {
                if (previous != null) {
                    formatted.append(token.getLine() > previous.getLine() + 1 ? "\n\n" : "\n");
                }
                formatted.append(
                        "\t"
                                .repeat(
                                        (int)
                                                openBracketLines.stream()
                                                        .distinct()
                                                        .count())); // those opened on one line are
                // one level
            } else if (needsSpaceBetween(previous.getText(), tokenText)) {
                formatted.append(' ');
            }
            formatted.append(tokenText);
            if (tokenText.equals("{") || tokenText.equals("[") || tokenText.equals("(")) {
                openBracketLines.add(token.getLine());
            }
            previous = token;
        }
        return formatted.isEmpty() ? "" : formatted.append('\n').toString();
    }

    private static boolean needsSpaceBetween(String previous, String tokenText) {
        if (tokenText.startsWith("//")) {
            return true;
        }
        boolean noSpaceBefore =
                tokenText.equals(",")
                        || tokenText.equals(":")
                        || tokenText.equals("?")
                        || tokenText.equals("]")
                        || tokenText.equals(")")
                        || tokenText.equals("}")
                        || tokenText.equals(".")
                        || tokenText.equals("{") && previous.equals("[");
        boolean noSpaceAfterPrevious =
                previous.equals("{")
                        || previous.equals("[")
                        || previous.equals("(")
                        || previous.equals(".")
                        || previous.equals("*")
                        || previous.equals("...")
                        || previous.equals("<")
                        || previous.equals(">")
                        || previous.equals("<=")
                        || previous.equals(">=")
                        || previous.equals("!=");
        return !noSpaceBefore && !noSpaceAfterPrevious;
    }
}
