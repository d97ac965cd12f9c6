package sprucelanding.config.records;

import java.util.List;

/** Exception for records that cannot be used. The message has one line per fault. */
public final class InvalidRecordsException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    InvalidRecordsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns all faults with file, line and column, in the order in which they were found. */
    public List<String> faults() {
        return faults;
    }
}
