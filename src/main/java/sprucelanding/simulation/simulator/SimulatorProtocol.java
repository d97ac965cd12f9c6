package sprucelanding.simulation.simulator;

/** The keywords and separators of the simulator's line protocol. */
final class SimulatorProtocol {
    static final char FIELD_SEPARATOR = '\t';
    static final char ROW_SEPARATOR = ',';

    /** A field that has no value. */
    static final String ABSENT = "-";

    static final String TRUE = "1";
    static final String FALSE = "0";

    // Delimiters of batches and replies.
    static final String BATCH_START = "BATCH";
    static final String BATCH_END = "END";
    static final String REPLY_END = "FINISHED";

    // Endpoint lists and the states of their endpoints.
    static final String ENDPOINT_LIST = "CATALOG";
    static final String ENDPOINT_LIST_ITEM = "ITEM";
    static final String ENDPOINT_AVAILABLE = "U";
    static final String ENDPOINT_DRAINING = "L";
    static final String ENDPOINT_GONE = "D";

    // Events.
    static final String INSTANCE_STARTED = "BORN";
    static final String INSTANCE_CRASHED = "CRASH_NOW";
    static final String TIMER_FIRED = "BELL";
    static final String ENDPOINTS_LISTED = "TOPOLOGY";
    static final String HEALTH_CHECK_COMPLETED = "CHECK_RESULT";
    static final String ENDPOINT_STATS = "DIGEST";
    static final String PROXY_DEMAND = "PROXY_STATS";
    static final String PROXY_JOINED = "CHECKED_IN";
    static final String PROXY_LEFT = "STREAM_DOWN";
    static final String ACKNOWLEDGED = "IN_FORCE";
    static final String PEER_MESSAGE = "HEARD";
    static final String WEIGHT_OBSERVED = "WEIGHT_SEEN";
    static final String CHARGED = "CHARGE";
    static final String RECORDED = "RECORDED";

    // Forms of the endpoint list in an ENDPOINTS_LISTED event.
    static final String LIST_FAILED = "failed";
    static final String LIST_CHANGES = "delta";
    static final String LIST_FULL = "full";
    static final String LIST_CACHED = "cached";

    // Status codes of a health check.
    static final int STATUS_OK = 200;
    static final int STATUS_TIMED_OUT = 408;
    static final int STATUS_BUSY = 429;
    static final int STATUS_ERROR = 502;
    static final int STATUS_CONNECTION_LOST = 520;
    static final int STATUS_NOT_CONNECTED = 521;

    // Commands.
    static final String SET_WEIGHT = "LINE";
    static final String CLEAR_TABLE = "TRUNCATE";
    static final String SET_EJECTED = "BENCH";
    static final String SET_ADMISSION = "VALVE";
    static final String BIND_PROXY = "SUBSCRIBE_TO";
    static final String REQUEST_ACKNOWLEDGEMENT = "ASK_RECEIPT";
    static final String CHECK_HEALTH = "CHECK";
    static final String SEND_TO_PEERS = "POST";
    static final String WATCH_ENDPOINT_LIST = "TAIL";
    static final String SET_TIMER = "SCHEDULE";
    static final String LOG = "WRITE_LOG";
    static final String REPORT_BUG = "BUG";

    /** Addresses a command to all peers. */
    static final String ALL_PEERS = "*";

    private SimulatorProtocol() {}
}
