package sprucelanding.config.records;

import java.util.Optional;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import sprucelanding.config.records.RecordsParser.FileContext;

/**
 * Parser of sources into syntax trees. Checks size and nesting before parsing, because the
 * generated parser recurses at each level.
 */
final class SourceParser {
    private static final int MAX_SOURCE_CHARACTERS = 16 << 20;
    private static final int MAX_NESTING_LEVELS = 64;

    /**
     * Limit of the faults, beyond which syntax errors are ignored: most follow from the first
     * error.
     */
    private static final int MAX_SYNTAX_FAULTS = 200;

    private SourceParser() {}

    /**
     * Parses a text. Adds syntax errors to the faults. The tree is incomplete if there are any.
     *
     * @return the tree, or empty if the text exceeds the limits and a fault was added
     */
    static Optional<FileContext> parse(Source source, Faults faults) {
        if (source.text().length() > MAX_SOURCE_CHARACTERS
                || nestingDepth(source.text()) > MAX_NESTING_LEVELS) {
            faults.add(
                    SourcePosition.startOf(source.name()),
                    "found "
                            + source.text().length()
                            + " characters, expected no more than "
                            + MAX_SOURCE_CHARACTERS
                            + " characters and "
                            + MAX_NESTING_LEVELS
                            + " nested levels");
            return Optional.empty();
        }
        BaseErrorListener errorListener = new SyntaxErrorListener(source.name(), faults);
        RecordsLexer lexer = new RecordsLexer(CharStreams.fromString(source.text(), source.name()));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errorListener);
        RecordsParser parser = new RecordsParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errorListener);
        return Optional.of(parser.file());
    }

    private static int nestingDepth(String text) {
        int deepest = 0;
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            switch (text.charAt(i)) {
                case '{', '[', '(' -> depth++;
                case '}', ']', ')' -> depth--;
                default -> {
                    // Other characters do not change the depth.
                }
            }
            deepest = Math.max(deepest, depth);
        }
        return deepest;
    }

    private static final class SyntaxErrorListener extends BaseErrorListener {
        private final String sourceName;
        private final Faults faults;

        SyntaxErrorListener(String sourceName, Faults faults) {
            this.sourceName = sourceName;
            this.faults = faults;
        }

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            if (faults.size() < MAX_SYNTAX_FAULTS) {
                faults.add(new SourcePosition(sourceName, line, column + 1), message);
            }
        }
    }
}
