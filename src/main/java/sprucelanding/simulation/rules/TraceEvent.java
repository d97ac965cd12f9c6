package sprucelanding.simulation.rules;

/** What a stand-in saw at a socket of its own. Times are ms on the machine's monotonic clock. */
public sealed interface TraceEvent {
    double at();

    /** A request reached a replica, sent by a proxy, with its work in ms. */
    record AttemptSent(
            double at,
            int proxy,
            long endpointId,
            int requestClass,
            long requestId,
            int attempt,
            double workMillis)
            implements TraceEvent {}

    /** A replica did what a txn asked for. */
    record Executed(
            double at, long endpointId, int requestClass, long requestId, int proxy, int attempt)
            implements TraceEvent {}

    /** A client asked for something, its work in ms, through its proxy. */
    record RequestArrived(double at, int proxy, int requestClass, long requestId, double workMillis)
            implements TraceEvent {}

    /** A client's txn ended, so long after it was first asked for. */
    record RequestEnded(
            double at,
            int requestClass,
            long requestId,
            RequestOutcome outcome,
            double latencyMillis)
            implements TraceEvent {}

    /**
     * The roster wrote to a governor how a replica stands; started is on this clock, 0 if long
     * past.
     */
    record EndpointReported(
            double at, int governor, long endpointId, boolean ready, double startedAt)
            implements TraceEvent {}

    /** The roster wrote a whole list: who is not told right after it is gone. */
    record EndpointListReported(double at, int governor, java.util.Set<Long> endpointIds)
            implements TraceEvent {}

    /** A proxy's stream to a governor came about: it got a first answer on it. */
    record ProxyJoined(double at, int proxy, int governor) implements TraceEvent {}

    record ProxyLeft(double at, int proxy) implements TraceEvent {}

    /**
     * A proxy read a message of a governor's.
     *
     * @param voice who wrote it and under which epoch, by its own word: NAME#EPOCH; no epoch where
     *     governors do not share
     */
    record MessageSent(
            double at,
            int proxy,
            int governor,
            String front,
            String kind,
            long nonce,
            int entries,
            String governorEpoch)
            implements TraceEvent {}

    /**
     * By script something befell a governor: kill, pause, stop, cut (from its proxies) or alone
     * (among governors).
     */
    record FaultInjected(double at, int governor, String fault) implements TraceEvent {}

    record MessageAnswered(double at, int proxy, long nonce, boolean rejected)
            implements TraceEvent {}

    /** By script a proxy reads nothing, or reads again: in between nobody can tell it anything. */
    record ReadingChanged(double at, int proxy, boolean reading) implements TraceEvent {}

    /** How many lines a proxy has to pick from for a product. */
    record TableChanged(double at, int proxy, int requestClass, int entries)
            implements TraceEvent {}

    /** A replica's process began: what it can do when warm, ms of work a ms. */
    record EndpointStarted(double at, long endpointId, double capacity) implements TraceEvent {}

    record EndpointStopped(double at, long endpointId) implements TraceEvent {}

    enum RequestOutcome {
        IN_TIME,
        LATE,
        DECLINED,
        VOIDED
    }
}
