package sprucelanding.config.records;

import java.util.Optional;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import sprucelanding.config.records.RecordsParser.FileContext;

/**
 * Parses sources into syntax trees. Size and nesting are checked before, since the generated parser
 * recurses at each level.
 */
final class SourceParser {
    private static final int MAX_SOURCE_CHARACTERS = 16 << 20;
    private static final int MAX_NESTING = 64;

    /** No more syntax errors are added to as many faults: most are consequences of the first. */
    private static final int MAX_SYNTAX_FAULTS = 200;

    private SourceParser() {}

    /**
     * Parses a text. Syntax errors are added to the faults; the tree is then incomplete.
     *
     * @return empty if the text exceeds the bounds; that is added to the faults
     */
    static Optional<FileContext> parse(Source source, Faults faults) {
        if (source.text().length() > MAX_SOURCE_CHARACTERS
                || nestingDepth(source.text()) > MAX_NESTING) {
            faults.add(
                    SourcePosition.startOf(source.name()),
                    "more than "
                            + MAX_SOURCE_CHARACTERS
                            + " characters, or "
                            + MAX_NESTING
                            + " levels");
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
                    // doesn't change the depth
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
