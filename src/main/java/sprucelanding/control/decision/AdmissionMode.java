package sprucelanding.control.decision;

/** How the proxies of a site limit what they admit. */
public enum AdmissionMode {
    /** By a share of the requests of a class. */
    SHARE,
    /** By a rate of requests a second at each proxy. */
    RATE,
    /** Not at all. */
    NONE
}
