package sprucelanding.control.decision;

/**
 * The priority of an update, lowest first. The priority limits how much of the channel an update
 * may fill, so that less urgent updates leave room for more urgent ones.
 */
enum ChannelPriority {
    /** Weight changes that follow the load, and admission levels without overload. */
    ORDINARY(0.6),
    /** Updates caused by health checks, and binds. */
    URGENT(0.75),
    /** Admission levels under overload, and refills of tables that lost most of their weight. */
    CRITICAL(0.9),
    /** Removals and ejections, which the rules require. */
    MANDATORY(1);

    private final double share;

    ChannelPriority(double share) {
        this.share = share;
    }

    /** Returns the share of the queue limit and of the message limit that such updates may use. */
    double share() {
        return share;
    }

    boolean isAbove(ChannelPriority other) {
        return compareTo(other) > 0;
    }
}
