package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides how much of each request class the proxies admit, so that the endpoints stay below
 * saturation: the classes of least revenue are shed first. Reports of load are about three periodic
 * updates old, so the admitted share is steered from what was admitted back then.
 */
final class AdmissionController {
    /** A rate that limits nobody, requests a second. */
    static final double UNLIMITED_RATE = 1e6;

    /** Mean load past which slow and failed requests count on top. */
    static final double BUSY_LOAD = 0.8;

    /** Mean load past which queues grow. */
    static final double SATURATED_LOAD = 0.75;

    /** Periodic updates until what was sent shows in the reports. */
    static final int REPORT_LAG_UPDATES = 3;

    /** Mean load that is steered for under overload. */
    private static final double TARGET_LOAD = 0.7;

    /** The expected load past which requests are shed before it shows. */
    private static final double EXPECTED_OVERLOAD = 0.95;

    /** Part of the latency objective that responses usually take. */
    private static final double NORMAL_RESPONSE_SHARE = 0.5;

    /** What lateness and failed requests count for at most, as a part of the load. */
    private static final double MAX_STRAIN_SURCHARGE = 1;

    /** The least share of a class that is admitted. */
    private static final double MIN_CLASS_SHARE = 0.05;

    /** The least share of all requests that is admitted. */
    private static final double MIN_ADMITTED_SHARE = 0.07;

    /** How fast the admitted share grows at most, for each periodic update. */
    private static final double MAX_GROWTH = 1.6;

    /** The least part of the load that is expected to stay when some of it goes. */
    private static final double MIN_REMAINING_LOAD = 0.05;

    /** The lowest rate at a proxy, requests a second. */
    private static final double MIN_RATE = 0.1;

    private final EventTime time;
    private final RequestClass[] requestClasses;

    /** Shares admitted of late, oldest first: reports tell of the oldest. */
    private final ArrayDeque<Double> recentAdmittedShares = new ArrayDeque<>();

    private double admittedShare = 1;
    private boolean overloaded;

    /** Creates a controller that admits all; it sets demand and admission of these classes. */
    AdmissionController(EventTime time, RequestClass[] requestClasses) {
        this.time = time;
        this.requestClasses = requestClasses;
    }

    /** Whether requests are shed, or about to be. */
    boolean isOverloaded() {
        return overloaded;
    }

    /**
     * Sets demand and admission of each request class, once in each periodic update.
     *
     * @param load mean load of the endpoints, 1 is full
     * @param responseTime mean response time, ms
     * @param failureShare part of the attempts that failed
     * @return what to log, if requests began to be shed or are all admitted again
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
        double lateness = Math.max(0, responseTime * demand / objectiveSum - NORMAL_RESPONSE_SHARE);
        boolean before = overloaded;
        double surcharge = Math.min(MAX_STRAIN_SURCHARGE, lateness + failureShare);
        steer(load > BUSY_LOAD ? load * (1 + surcharge) : load);
        setAdmission(proxies, demand);
        if (overloaded == before) {
            return Optional.empty();
        }
        return Optional.of(
                new DecisionEvent.OverloadChanged(overloaded, load, lateness, failureShare));
    }

    /** Steers the admitted share towards the target: halfway, and at once past full load. */
    private void steer(double strain) {
        overloaded = strain > SATURATED_LOAD || overloaded && admittedShare < 1;
        double reported =
                recentAdmittedShares.isEmpty()
                        ? 1
                        : admittedShare / recentAdmittedShares.peekFirst();
        double expected = strain * reported;
        overloaded |= expected > EXPECTED_OVERLOAD;
        if (overloaded) {
            double target = admittedShare * TARGET_LOAD / expected;
            boolean farOff = expected > 1 || expected < TARGET_LOAD / 2;
            double step = farOff ? target : (admittedShare + target) / 2;
            double grown = Math.min(MAX_GROWTH * admittedShare, step);
            admittedShare = Math.min(1, Math.max(MIN_ADMITTED_SHARE, grown));
        }
        recentAdmittedShares.addLast(admittedShare);
        if (recentAdmittedShares.size() > REPORT_LAG_UPDATES) {
            recentAdmittedShares.pollFirst();
        }
    }

    private void setAdmission(Collection<Proxy> proxies, double demand) {
        for (RequestClass requestClass : requestClasses) {
            double higher = 0;
            double same = 0;
            for (RequestClass other : requestClasses) {
                higher += other.revenue() > requestClass.revenue() ? other.demand() : 0;
                same += other.revenue() == requestClass.revenue() ? other.demand() : 0;
            }
            double left = same <= 0 ? 1 : (admittedShare * demand - higher) / same;
            double share = admittedShare >= 1 ? 1 : Math.max(MIN_CLASS_SHARE, Math.min(1, left));
            requestClass.setAdmitted(share, rate(requestClass, share, proxies));
        }
    }

    /**
     * The rate that admits that share of the class in all and leaves proxies with little traffic
     * alone.
     */
    private static double rate(RequestClass requestClass, double share, Collection<Proxy> proxies) {
        double[] demands =
                proxies.stream()
                        .mapToDouble(proxy -> proxy.demand(requestClass.index))
                        .sorted()
                        .toArray();
        double left = share * requestClass.demand();
        int spared = 0;
        while (spared < demands.length && demands[spared] * (demands.length - spared) < left) {
            left -= demands[spared];
            spared++;
        }
        return spared == demands.length
                ? UNLIMITED_RATE
                : Math.max(MIN_RATE, left / (demands.length - spared));
    }

    /**
     * The load of the remaining endpoints is going to grow by this share: an endpoint leaves (below
     * 0: one comes), or a proxy brings traffic. In the first updates nothing is known to compare it
     * with.
     */
    void expectLoadChange(double share) {
        if (time.updateCount() <= REPORT_LAG_UPDATES) {
            return;
        }
        for (int i = recentAdmittedShares.size(); i > 0; i--) {
            double remaining = Math.max(MIN_REMAINING_LOAD, 1 - share);
            recentAdmittedShares.addLast(recentAdmittedShares.pollFirst() * remaining);
        }
    }
}
