package sprucelanding.control.decision;

/** The way in which the proxies of a site limit the requests that they admit. */
public enum AdmissionMode {
    /** Proxies admit a share of the requests of each request class. */
    SHARE,
    /** Each proxy admits a number of requests per second of each request class. */
    RATE,
    /** Proxies admit all requests. */
    NONE
}
