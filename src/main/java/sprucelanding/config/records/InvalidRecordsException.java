package sprucelanding.config.records;

import java.util.List;

/** Records can't be used; the message has one line for each fault. */
public final class InvalidRecordsException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    InvalidRecordsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** All faults, each with file, line and column, in the order in which they were found. */
    public List<String> faults() {
        return faults;
    }
}
