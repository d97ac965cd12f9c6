package sprucelanding.control.decision;

/**
 * How much of the channel's limits an update may use up, least urgent first. What is less urgent
 * leaves room for what is more so.
 */
enum ChannelPriority {
    /** Weights that follow the load, and levels in calm times. */
    ORDINARY(0.6),
    /** What health and binds ask for. */
    URGENT(0.75),
    /** Levels under overload, and tables that have lost most of their weight. */
    CRITICAL(0.9),
    /** What the rules ask for: removals and ejections. */
    MANDATORY(1);

    private final double share;

    ChannelPriority(double share) {
        this.share = share;
    }

    /** Part of the queue and of the messages to a proxy that such updates may fill. */
    double share() {
        return share;
    }

    boolean isAbove(ChannelPriority other) {
        return compareTo(other) > 0;
    }
}
