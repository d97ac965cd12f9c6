package sprucelanding.control.decision;

/**
 * One endpoint with its listed attributes, load, health and ejection state. The doc comment of each
 * setter names the only class that calls the setter. Times are ms on the host's clock.
 */
public final class Endpoint {
    /** Identifier that the host assigned. The host never reuses an identifier. */
    public final long id;

    private int zone;
    private int machineKind;
    private double listedWeight = 1;
    private double startedAt;
    private EndpointState state = EndpointState.GONE;
    private double removedAt = EventTime.NEVER;
    private boolean enteringService;
    private boolean mayBeEjectedElsewhere;
    private boolean ejectedFromAllTables;
    private double totalSentWeight;
    private final EndpointStats stats = new EndpointStats();
    private final HealthCheckHistory healthChecks = new HealthCheckHistory();
    private final Ejection ejection = new Ejection();

    Endpoint(long id) {
        this.id = id;
    }

    /**
     * Returns whether another governor may have ejected the endpoint from all tables. Proxies that
     * join from that governor do not send requests to the endpoint until they receive its
     * restoration.
     */
    public boolean mayBeEjectedElsewhere() {
        return mayBeEjectedElsewhere;
    }

    /** Returns whether the endpoint may receive requests according to the endpoint list. */
    public boolean isAvailable() {
        return state == EndpointState.AVAILABLE || state == EndpointState.MISSING;
    }

    int zone() {
        return zone;
    }

    int machineKind() {
        return machineKind;
    }

    double listedWeight() {
        return listedWeight;
    }

    /** Returns the start time of the endpoint's process; 0 if the process started long ago. */
    double startedAt() {
        return startedAt;
    }

    EndpointState state() {
        return state;
    }

    /**
     * Returns the time of the list update that last made the endpoint draining, missing or gone.
     * The value has no meaning while the state is {@link EndpointState#AVAILABLE}.
     */
    double removedAt() {
        return removedAt;
    }

    /**
     * Returns whether the endpoint has been added to the list or restarted since the tables were
     * last updated from the list.
     */
    boolean isEnteringService() {
        return enteringService;
    }

    /**
     * Returns whether the endpoint is ejected from every table of the joined proxies, including
     * tables that another governor sent.
     */
    boolean isEjectedFromAllTables() {
        return ejectedFromAllTables;
    }

    /** Returns the sum over all tables of the endpoint's last sent weights. */
    double totalSentWeight() {
        return totalSentWeight;
    }

    EndpointStats stats() {
        return stats;
    }

    HealthCheckHistory healthChecks() {
        return healthChecks;
    }

    Ejection ejection() {
        return ejection;
    }

    boolean isEjected() {
        return ejection.isActive();
    }

    /** Set by {@link EndpointRegistry}. */
    void setListing(int zone, int machineKind, double weight, double startedAt) {
        this.zone = zone;
        this.machineKind = machineKind;
        this.listedWeight = InputLimits.listedWeightOrDefault(weight);
        this.startedAt = InputLimits.startTimeOrLongAgo(startedAt);
    }

    /** Set by {@link EndpointRegistry}. */
    void setStartedAt(double startedAt) {
        this.startedAt = InputLimits.startTimeOrLongAgo(startedAt);
    }

    /** Set by {@link EndpointRegistry}. */
    void setState(EndpointState state) {
        this.state = state;
    }

    /** Set by {@link EndpointRegistry}. */
    void setRemovedAt(double removedAt) {
        this.removedAt = removedAt;
    }

    /** Set by {@link EndpointRegistry}. */
    void setEnteringService(boolean enteringService) {
        this.enteringService = enteringService;
    }

    /** Set by {@link EndpointRegistry}. */
    void setMayBeEjectedElsewhere() {
        mayBeEjectedElsewhere = true;
    }

    /** Set by {@link EjectionQueue}. */
    void setEjectedFromAllTables(boolean ejected) {
        ejectedFromAllTables = ejected;
    }

    /** Called by {@link TableEntry} when a weight is sent. */
    void addSentWeight(double change) {
        totalSentWeight += change;
    }
}
