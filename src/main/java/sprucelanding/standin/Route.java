package sprucelanding.standin;

/** One product's route as a proxy was told: its table, the share or the rate let in, and when it tries again. */
record Route(String cluster, double share, double rate, Retry retry) {
    enum Retry { NEVER, UNRUN, ANY }
}
