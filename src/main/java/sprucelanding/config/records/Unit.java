package sprucelanding.config.records;

/** The dimension of a number. */
enum Unit {
    /** A plain number. */
    NONE(""),
    /** A time; its value is in milliseconds. */
    TIME("time"),
    /** A fraction; its value is a part of 1. */
    SHARE("share"),
    /** A rate; its value is per second. */
    RATE("rate");

    private final String label;

    Unit(String label) {
        this.label = label;
    }

    /** The name as it stands in faults; empty for plain numbers. */
    String label() {
        return label;
    }
}
