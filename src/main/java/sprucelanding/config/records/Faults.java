package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.List;

/** List of the faults of one read, in the order in which they are found. */
final class Faults {
    private final List<String> messages = new ArrayList<>();

    void add(SourcePosition position, String problem) {
        messages.add(position + ": " + problem);
    }

    void addAll(Faults others) {
        messages.addAll(others.messages);
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    int size() {
        return messages.size();
    }

    /** Throws an exception with all faults if there are any. */
    void throwIfAny() throws InvalidRecordsException {
        if (!messages.isEmpty()) {
            throw new InvalidRecordsException(messages);
        }
    }
}
