package sprucelanding.config.records;

/** Units of numbers. */
enum Unit {
    /** No unit. */
    NONE(""),
    /** Time in milliseconds. */
    TIME("time"),
    /** Share as a fraction of 1. */
    SHARE("share"),
    /** Rate in events per second. */
    RATE("rate");

    private final String label;

    Unit(String label) {
        this.label = label;
    }

    /** Returns the name of the unit in faults. Returns an empty string for {@link #NONE}. */
    String label() {
        return label;
    }
}
