package sprucelanding.config.records;

import java.util.List;

/** What is wrong with a file of records, one line for each fault. */
public final class InvalidRecordsException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    InvalidRecordsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
