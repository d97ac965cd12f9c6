package sprucelanding.config.records;

/** Where something stands. */
record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
