package sprucelanding.runtime.server;

/**
 * The events that {@code serve} logs itself, each with its fields. The controller's decisions log
 * the records of {@link sprucelanding.control.decision.DecisionEvent} in addition. docs/platform.md
 * describes all events of both kinds.
 */
enum ServerEvent {
    /** The governor listens: name, address. */
    GOVERNOR_STARTED("governor_started"),
    /** The governor cannot start, and the process ends: reason. */
    START_FAILED("start_failed"),
    /** The last known endpoint list in the configuration is malformed and not used: reason. */
    KNOWN_LIST_UNUSABLE("known_list_unusable"),
    /** The configuration was read again. */
    CONFIG_RELOADED("config_reloaded"),
    /** The configuration cannot be read again; the previous one stays in use: reason. */
    CONFIG_RELOAD_FAILED("config_reload_failed"),
    /** The watch on discovery receives data: revision. */
    DISCOVERY_CONNECTED("discovery_connected"),
    /** The watch on discovery ended and reconnects: reason. */
    DISCOVERY_LOST("discovery_lost"),
    /** Some entries of a list are malformed; the whole list is requested. */
    DISCOVERY_LIST_INCOMPLETE("discovery_list_incomplete"),
    /** A list could not be applied; the whole list is requested: reason. */
    DISCOVERY_LIST_UNUSABLE("discovery_list_unusable"),
    /** A list is behind what is known of endpoints that have left: rev, withheld. */
    DISCOVERY_LIST_OUTDATED("discovery_list_outdated"),
    /** A list was applied: rev, whole, entries, ready. */
    ENDPOINTS_CHANGED("endpoints_changed"),
    /** The machine's wall clock was wrong when the governor started: ahead_ms. */
    CLOCK_CORRECTED("clock_corrected"),
    /** The first connection was rejected: reason. */
    CONNECTION_REJECTED("connection_rejected"),
    /** The first message was dropped: reason. */
    MESSAGE_DROPPED("message_dropped"),
    /**
     * A hundred more connections were rejected or messages dropped: connections_rejected,
     * messages_dropped.
     */
    REJECTION_TOTALS("rejection_totals"),
    /** Streams of proxies ended: open, reasons. */
    STREAMS_ENDED("streams_ended"),
    /** Orders named endpoints that are not available and were not carried out: total. */
    GUARD_REFUSED_LINE("guard_refused_line"),
    /** An update could not be written: proxy, cause. */
    UPDATE_FAILED("update_failed"),
    /** A decision ended with an exception: text, cause. */
    DECISION_FAILED("decision_failed"),
    /** The event loop caught an exception of a task, or its selector failed: text, cause. */
    EVENT_LOOP_ERROR("event_loop_error"),
    /** Log lines were suppressed because there were too many: count. */
    LOG_LINES_SUPPRESSED("log_lines_suppressed");

    private final String key;

    ServerEvent(String key) {
        this.key = key;
    }

    /** Returns the event's name in the log. */
    String key() {
        return key;
    }
}
