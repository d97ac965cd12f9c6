package sprucelanding.control.decision;

/**
 * Limit on the orders for one event. All orders for an event together are far below the limit. If
 * the limit is reached, a fault repeats an order without end; the batch then ends, so that the host
 * goes on with its other work.
 */
final class OrderLimit {
    /** Number of times that the orders for one event may concern the same object. */
    private static final long ORDERS_PER_OBJECT = 8;

    /** Limit for a governor without endpoints and proxies. */
    private static final long MIN_ORDERS = 1000;

    private final DecisionLog log;
    private final EndpointRegistry endpoints;
    private final ProxyRegistry proxies;
    private final RoutingTables tables;
    private final int requestClassCount;
    private long orders;
    private boolean isReached;
    private long endedBatches;

    OrderLimit(
            DecisionLog log,
            EndpointRegistry endpoints,
            ProxyRegistry proxies,
            RoutingTables tables,
            int requestClassCount) {
        this.log = log;
        this.endpoints = endpoints;
        this.proxies = proxies;
        this.tables = tables;
        this.requestClassCount = requestClassCount;
    }

    /** Begins the orders for the next event. */
    void eventStarted() {
        orders = 0;
        isReached = false;
    }

    /** Counts an order. */
    void orderGiven() {
        orders++;
    }

    /** Returns whether another order may be given for this event; logs the end of a batch. */
    boolean allowsOrder() {
        if (orders >= MIN_ORDERS && !isReached && orders >= maxOrders()) {
            isReached = true;
            endedBatches++;
            log.add(new DecisionEvent.OrderLimitReached(orders, endedBatches));
        }
        return !isReached;
    }

    /** Returns the limit: each table has entries and levels, each proxy is bound to each table. */
    private long maxOrders() {
        long perTable = endpoints.size() + requestClassCount + 1L;
        long objects =
                (tables.all().size() + 1L) * perTable
                        + (tables.full().size() + 1L) * proxies.size();
        return MIN_ORDERS + ORDERS_PER_OBJECT * objects;
    }
}
