package sprucelanding.runtime.server;

/** The origin of an endpoint list. */
enum ListOrigin {
    /** The last list of an earlier run of this governor, taken from the configuration. */
    LAST_RUN,
    /** The watch on discovery. */
    DISCOVERY
}
