package sprucelanding.simulation.scenario;

/** Counts the messages of one protocol between governors and proxies. */
final class FrontCounts {
    private long messages;
    private long entries;
    private long acknowledged;
    private long rejected;

    void messageSent(int messageEntries) {
        messages++;
        entries += messageEntries;
    }

    void messageAnswered(boolean isRejected) {
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
