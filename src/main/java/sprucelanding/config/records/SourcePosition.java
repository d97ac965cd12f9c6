package sprucelanding.config.records;

/**
 * Position in a source.
 *
 * @param file name of the source
 * @param line number of the line, counted from 1
 * @param column number of the character in the line, counted from 1
 */
record SourcePosition(String file, int line, int column) {
    static SourcePosition startOf(String file) {
        return new SourcePosition(file, 1, 1);
    }

    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
