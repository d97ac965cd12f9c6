package sprucelanding.control.settings;

/** The keys of the settings object, and the fixed words that some of its values consist of. */
final class SettingsKeys {
    // keys of the settings object itself
    static final String CLASSES = "classes";
    static final String ZONES = "zones";
    static final String MACHINE_KINDS = "kinds";
    static final String NAME = "name";
    static final String DECISION_INTERVAL = "tickUs";
    static final String ENDPOINT_LIST_MODE = "membershipMode";
    static final String LIST_IS_PUSHED = "pushed";
    static final String GOVERNORS = "balancers";

    /** The section on the proxies and on the channel to the proxies. */
    static final String FLEET = "familyInfo";

    static final String PROXIES = "proxies";
    static final String ADMISSION_MODE = "admit";
    static final String ADMISSION_BY_SHARE = "share";
    static final String ADMISSION_BY_RATE = "rate";
    static final String NO_ADMISSION = "none";
    static final String ENTRIES_PER_SECOND = "egressPerS";
    static final String MESSAGE_OVERHEAD = "head";
    static final String QUEUE_CAPACITY = "queueCap";
    static final String MAX_MESSAGES_PER_WINDOW = "updateCap";
    static final String MESSAGE_WINDOW = "reloadSpanUs";
    static final String MAX_TRANSIT_TIME = "transitMaxUs";
    static final String REPORT_INTERVAL = "reportEveryUs";
    static final String OWN_ZONE_ONLY = "homeOnly";

    /** The section on the guarantees that are given to endpoints. */
    static final String CONTRACT = "contract";

    static final String SOFT_REMOVAL = "softRemoval";
    static final String INITIAL_CAPACITY_SHARE = "coldFrom";
    static final String WARM_UP_TIME = "warmAfterUs";
    static final String FALL_MULTIPLE = "tipMultiple";
    static final String DRAIN_GRACE = "drainGraceUs";

    /** The section on limits. */
    static final String LIMITS = "ceilings";

    static final String CONNECT_TIMEOUT = "connectTimeoutUs";
    static final String HEALTH_CHECKS_ALLOWED = "probes";

    /** The section on load reports. */
    static final String REPORT = "report";

    static final String REPORT_METHOD = "how";
    static final String NO_REPORTS = "none";
    static final String REPORT_FIELDS = "names";
    static final String CPU_SHARE_FIELD = "cpu_share";
    static final String UTILIZATION_FIELD = "util";

    // keys and values of one request class
    static final String EFFECT = "effect";
    static final String EFFECT_PURE = "pure";
    static final String EFFECT_CHANGES_STATE = "side_effect";
    static final String REVENUE = "worth";
    static final String LATENCY_OBJECTIVE = "promiseUs";
    static final String ALLOWED_MACHINE_KINDS = "onlyKinds";
    static final String ALLOWED_ZONES = "onlyZones";

    private SettingsKeys() {}
}
