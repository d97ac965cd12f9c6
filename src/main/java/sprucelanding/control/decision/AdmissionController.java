package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides what share of each request class the proxies admit, so that the load of the endpoints
 * stays below saturation. Requests of the classes with the least revenue are shed first.
 *
 * <p>Load reports lag about three periodic updates behind. The admitted share is therefore
 * calculated from the share that was admitted when the reported load arose.
 */
final class AdmissionController {
    /** A rate so high that it limits no proxy, requests per second. */
    static final double UNLIMITED_REQUESTS_PER_S = 1e6;

    /** Mean load above which slow responses and failed requests are added to the load. */
    static final double BUSY_LOAD = 0.8;

    /** Mean load above which queues grow. */
    static final double SATURATED_LOAD = 0.75;

    /** Number of periodic updates until the effect of an order appears in the load reports. */
    static final int REPORT_LAG_UPDATES = 3;

    /** Mean load that the admitted share aims at under overload. */
    private static final double TARGET_LOAD = 0.7;

    /** Expected load above which requests are shed before the reports show the overload. */
    private static final double OVERLOAD_FORECAST_LOAD = 0.95;

    /** Response time that is normal, as a share of the latency objective. */
    private static final double NORMAL_RESPONSE_SHARE = 0.5;

    /** Largest surcharge for slow responses and failed requests, as a share of the load. */
    private static final double MAX_LOAD_SURCHARGE = 1;

    /** Smallest share of a request class that is admitted. */
    private static final double MIN_CLASS_SHARE = 0.05;

    /** Smallest share of all requests that is admitted. */
    private static final double MIN_ADMITTED_SHARE = 0.07;

    /** Largest factor by which the admitted share grows in one periodic update. */
    private static final double MAX_GROWTH_FACTOR = 1.6;

    /** Smallest share of the load that is expected to remain after a load change. */
    private static final double MIN_REMAINING_LOAD_SHARE = 0.05;

    /**
     * Range of the admitted shares of the past. Many load changes within one update multiply, and
     * the admitted share is divided by their product.
     */
    private static final double MIN_RECENT_SHARE = 1e-6;

    private static final double MAX_RECENT_SHARE = 1e6;

    /** Lowest admission rate of a proxy, requests per second. */
    private static final double MIN_REQUESTS_PER_S = 0.1;

    private final EventTime time;
    private final RequestClass[] requestClasses;

    /** The admitted shares of the last updates, oldest first. Load reports reflect the oldest. */
    private final ArrayDeque<Double> recentAdmittedShares = new ArrayDeque<>();

    private double admittedShare = 1;
    private boolean isOverloaded;

    /** Creates a controller that admits all requests and updates the given request classes. */
    AdmissionController(EventTime time, RequestClass[] requestClasses) {
        this.time = time;
        this.requestClasses = requestClasses;
    }

    /** Returns whether requests are shed or are about to be shed. */
    boolean isOverloaded() {
        return isOverloaded;
    }

    /**
     * Updates the demand and the admission of each request class. The method is called once in each
     * periodic update.
     *
     * @param load mean load of the endpoints; 1 is full load
     * @param responseTime mean response time, ms
     * @param failureShare share of the attempts that failed
     * @return the event to log if load shedding started or ended
     */
    Optional<DecisionEvent> update(
            Collection<Proxy> proxies, double load, double responseTime, double failureShare) {
        double demand = 0;
        double objectiveSum = 0;
        for (RequestClass requestClass : requestClasses) {
            int index = requestClass.index;
            requestClass.setDemand(
                    proxies.stream().mapToDouble(proxy -> proxy.demand(index)).sum());
            demand += requestClass.demand();
            objectiveSum += requestClass.demand() * requestClass.latencyObjective();
        }
        if (demand <= 0) {
            return Optional.empty();
        }
        double lateness =
                objectiveSum > 0
                        ? Math.max(0, responseTime * demand / objectiveSum - NORMAL_RESPONSE_SHARE)
                        : 0;
        boolean wasOverloaded = isOverloaded;
        double surcharge = Math.min(MAX_LOAD_SURCHARGE, lateness + failureShare);
        adjustAdmittedShare(load > BUSY_LOAD ? load * (1 + surcharge) : load);
        setAdmission(proxies, demand);
        if (isOverloaded == wasOverloaded) {
            return Optional.empty();
        }
        return Optional.of(
                new DecisionEvent.OverloadChanged(isOverloaded, load, lateness, failureShare));
    }

    /**
     * Moves the admitted share halfway towards the target. If the expected load is above full load
     * or below half of the target load, the share is set to the target at once.
     */
    private void adjustAdmittedShare(double effectiveLoad) {
        isOverloaded = effectiveLoad > SATURATED_LOAD || isOverloaded && admittedShare < 1;
        double changeSinceReport =
                recentAdmittedShares.isEmpty()
                        ? 1
                        : admittedShare / recentAdmittedShares.peekFirst();
        double expectedLoad = effectiveLoad * changeSinceReport;
        isOverloaded |= expectedLoad > OVERLOAD_FORECAST_LOAD;
        if (isOverloaded) {
            double target = admittedShare * TARGET_LOAD / expectedLoad;
            boolean isFarFromTarget = expectedLoad > 1 || expectedLoad < TARGET_LOAD / 2;
            double adjusted = isFarFromTarget ? target : (admittedShare + target) / 2;
            double limited = Math.min(MAX_GROWTH_FACTOR * admittedShare, adjusted);
            admittedShare = Math.min(1, Math.max(MIN_ADMITTED_SHARE, limited));
        }
        recentAdmittedShares.addLast(admittedShare);
        if (recentAdmittedShares.size() > REPORT_LAG_UPDATES) {
            recentAdmittedShares.pollFirst();
        }
    }

    private void setAdmission(Collection<Proxy> proxies, double demand) {
        for (RequestClass requestClass : requestClasses) {
            double higherRevenueDemand = 0;
            double equalRevenueDemand = 0;
            for (RequestClass other : requestClasses) {
                higherRevenueDemand +=
                        other.revenue() > requestClass.revenue() ? other.demand() : 0;
                equalRevenueDemand +=
                        other.revenue() == requestClass.revenue() ? other.demand() : 0;
            }
            double remainingShare =
                    equalRevenueDemand <= 0
                            ? 1
                            : (admittedShare * demand - higherRevenueDemand) / equalRevenueDemand;
            double share =
                    admittedShare >= 1 ? 1 : Math.max(MIN_CLASS_SHARE, Math.min(1, remainingShare));
            requestClass.setAdmitted(share, ratePerProxy(requestClass, share, proxies));
        }
    }

    /**
     * Returns the rate per proxy that admits the given share of the request class in total. Proxies
     * whose demand is below the rate are not limited.
     */
    static double ratePerProxy(RequestClass requestClass, double share, Collection<Proxy> proxies) {
        double[] demands =
                proxies.stream()
                        .mapToDouble(proxy -> proxy.demand(requestClass.index))
                        .sorted()
                        .toArray();
        double remainingDemand =
                share
                        * proxies.stream()
                                .mapToDouble(proxy -> proxy.demand(requestClass.index))
                                .sum();
        int unlimitedProxies = 0;
        while (unlimitedProxies < demands.length
                && demands[unlimitedProxies] * (demands.length - unlimitedProxies)
                        < remainingDemand) {
            remainingDemand -= demands[unlimitedProxies];
            unlimitedProxies++;
        }
        return unlimitedProxies == demands.length
                ? UNLIMITED_REQUESTS_PER_S
                : Math.max(
                        MIN_REQUESTS_PER_S, remainingDemand / (demands.length - unlimitedProxies));
    }

    /**
     * Accounts for a load change that the reports do not show yet. The admitted shares of the past
     * are reduced, so that the expected load rises.
     *
     * <p>The method has no effect in the first updates, because there are no earlier reports to
     * compare with.
     *
     * @param share share by which the load of the remaining endpoints grows, because an endpoint
     *     leaves or a proxy adds traffic; negative if an endpoint joins
     */
    void expectLoadChange(double share) {
        if (time.updateCount() <= REPORT_LAG_UPDATES) {
            return;
        }
        for (int i = recentAdmittedShares.size(); i > 0; i--) {
            double remaining = Math.max(MIN_REMAINING_LOAD_SHARE, 1 - share);
            double changed = recentAdmittedShares.pollFirst() * remaining;
            recentAdmittedShares.addLast(
                    Math.min(MAX_RECENT_SHARE, Math.max(MIN_RECENT_SHARE, changed)));
        }
    }
}
