package sprucelanding.config.records;

/**
 * A place in a source.
 *
 * @param file the name of the source
 * @param line the line, counted from 1
 * @param column the column in characters, counted from 1
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
