package sprucelanding.runtime.server;

/** The names of the site that messages from clients may refer to. */
interface SiteNames {
    /** Returns the number of the zone with the given name; -1 if there is none. */
    int zoneIndex(String name);

    /** Returns the number of the request class with the given name; -1 if there is none. */
    int requestClassIndex(String name);

    /**
     * Returns whether discovery has listed the endpoint. An endpoint that was removed some time
     * after it was gone is not known.
     */
    boolean isKnownEndpoint(String uid);
}
