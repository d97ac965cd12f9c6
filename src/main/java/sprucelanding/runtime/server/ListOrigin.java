package sprucelanding.runtime.server;

/** Where an endpoint list comes from. */
enum ListOrigin {
    /** The list as an earlier run of this governor last had it, from the configuration. */
    LAST_RUN,
    /** The watch on discovery. */
    DISCOVERY
}
