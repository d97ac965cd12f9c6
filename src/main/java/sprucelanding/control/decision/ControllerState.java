package sprucelanding.control.decision;

/**
 * The parts of a controller that hold its state and its policies, for the classes that use many of
 * them.
 *
 * @param requestClasses request classes of the site, by index
 */
record ControllerState(
        EventTime time,
        DecisionLog log,
        RequestClass[] requestClasses,
        EndpointRegistry endpoints,
        ProxyRegistry proxies,
        RoutingTables tables,
        ChannelBudget channel,
        DrainTracker drains,
        JoinForecast joins,
        SlowStart slowStart,
        LoadEstimator loads,
        WeightPolicy weights,
        AdmissionController admission,
        WarmUpLimiter warmUpLimiter,
        HealthCheckScheduler healthChecks) {}
