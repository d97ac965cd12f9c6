package sprucelanding.records;

/** Where something stands. */
record Place(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
