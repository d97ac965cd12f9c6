package sprucelanding.simulation.scenario;

/** Counters of the messages of one protocol between governors and proxies. */
final class FrontCounts {
    private long messages;
    private long entries;
    private long acknowledged;
    private long rejected;

    void countMessage(int entriesInMessage) {
        messages++;
        entries += entriesInMessage;
    }

    void countAnswer(boolean isRejected) {
        if (isRejected) {
            rejected++;
        } else {
            acknowledged++;
        }
    }

    long messages() {
        return messages;
    }

    long entries() {
        return entries;
    }

    long acknowledged() {
        return acknowledged;
    }

    long rejected() {
        return rejected;
    }
}
