package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Decides how much of each product the proxies let in, so that the servers stay below saturation:
 * the cheapest products are declined first. Reports of load are about three turns old, so levels
 * steer from the share that was let in back then.
 */
final class AdmissionController {
    /** A rate that limits nobody, txns a second. */
    static final double UNLIMITED_RATE = 1e6;

    /** Mean load past which slow and voided answers count on top. */
    static final double BUSY_LOAD = 0.8;

    /** Mean load past which queues grow. */
    static final double SATURATED_LOAD = 0.75;

    /** Mean load that is steered for under overload. */
    private static final double TARGET_LOAD = 0.7;

    /** The load that is foreseen past which levels fall before it shows. */
    private static final double EXPECTED_OVERLOAD = 0.95;

    /** Part of the SLA time that answers usually take. */
    private static final double NORMAL_RESPONSE_SHARE = 0.5;

    /** What lateness and voided answers count at most, as a part of the load. */
    private static final double MAX_STRAIN_SURCHARGE = 1;

    /** The lowest level of a product, and the least that is let in of all. */
    private static final double MIN_CLASS_SHARE = 0.05;

    private static final double MIN_ADMITTED_SHARE = 0.07;

    /** How fast the share that is let in grows at most, a turn. */
    private static final double MAX_GROWTH = 1.6;

    /** Turns until a level shows in the reports. */
    private static final int REPORT_LAG_UPDATES = 3;

    /** The least part of the load that is foreseen to stay. */
    private static final double MIN_REMAINING_LOAD = 0.05;

    /** The lowest rate at a proxy, txns a second. */
    private static final double MIN_RATE = 0.1;

    private final RequestClass[] requestClasses;

    /** Let in of late, oldest first: reports tell of the oldest. */
    private final ArrayDeque<Double> recentAdmittedShares = new ArrayDeque<>();

    private double admittedShare = 1;
    private boolean overloaded;

    /**
     * Creates a controller that lets in all; it sets the levels, rates and demands of these
     * products.
     */
    AdmissionController(RequestClass[] requestClasses) {
        this.requestClasses = requestClasses;
    }

    /** Whether something is declined, or about to be. */
    boolean overloaded() {
        return overloaded;
    }

    /**
     * Sets demand, level and rate of each product, once a turn.
     *
     * @param use mean load of the servers, 1 is full
     * @param answerTime mean time of an answer, ms
     * @param voidShare part of the tries that were voided
     * @return a line for the log if the mode has changed, or null
     */
    String update(Collection<Proxy> proxies, double use, double answerTime, double voidShare) {
        double demand = 0;
        double slaTime = 0;
        for (RequestClass requestClass : requestClasses) {
            requestClass.demand =
                    proxies.stream().mapToDouble(proxy -> proxy.demand[requestClass.index]).sum();
            demand += requestClass.demand;
            slaTime += requestClass.demand * requestClass.latencyObjective;
        }
        if (demand <= 0) {
            return null;
        }
        double late = Math.max(0, answerTime * demand / slaTime - NORMAL_RESPONSE_SHARE);
        boolean before = overloaded;
        steer(use > BUSY_LOAD ? use * (1 + Math.min(MAX_STRAIN_SURCHARGE, late + voidShare)) : use);
        setAdmittedShares(proxies, demand);
        if (overloaded == before) {
            return null;
        }
        return (overloaded ? "declining: use " : "all let in: use ")
                + percent(use)
                + ", late "
                + percent(late)
                + ", voided "
                + percent(voidShare);
    }

    /** Steers the share that is let in towards the goal: halfway, and at once past full use. */
    private void steer(double strain) {
        overloaded = strain > SATURATED_LOAD || overloaded && admittedShare < 1;
        double foreseen =
                strain
                        * (recentAdmittedShares.isEmpty()
                                ? 1
                                : admittedShare / recentAdmittedShares.peekFirst());
        overloaded |= foreseen > EXPECTED_OVERLOAD;
        if (overloaded) {
            double goal = admittedShare * TARGET_LOAD / foreseen;
            double step =
                    foreseen > 1 || foreseen < TARGET_LOAD / 2 ? goal : (admittedShare + goal) / 2;
            admittedShare =
                    Math.min(
                            1,
                            Math.max(
                                    MIN_ADMITTED_SHARE,
                                    Math.min(MAX_GROWTH * admittedShare, step)));
        }
        recentAdmittedShares.addLast(admittedShare);
        if (recentAdmittedShares.size() > REPORT_LAG_UPDATES) {
            recentAdmittedShares.pollFirst();
        }
    }

    private void setAdmittedShares(Collection<Proxy> proxies, double demand) {
        for (RequestClass requestClass : requestClasses) {
            double higher = 0;
            double same = 0;
            for (RequestClass other : requestClasses) {
                higher += other.revenue > requestClass.revenue ? other.demand : 0;
                same += other.revenue == requestClass.revenue ? other.demand : 0;
            }
            double level = same <= 0 ? 1 : (admittedShare * demand - higher) / same;
            requestClass.admittedShare =
                    admittedShare >= 1 ? 1 : Math.max(MIN_CLASS_SHARE, Math.min(1, level));
            requestClass.admittedRate = rate(requestClass, proxies);
        }
    }

    /**
     * The rate that lets in the product's level in all and leaves proxies with little traffic
     * alone.
     */
    private static double rate(RequestClass requestClass, Collection<Proxy> proxies) {
        double[] demands =
                proxies.stream()
                        .mapToDouble(other -> other.demand[requestClass.index])
                        .sorted()
                        .toArray();
        double left = requestClass.admittedShare * requestClass.demand;
        int i = 0;
        while (i < demands.length && demands[i] * (demands.length - i) < left) {
            left -= demands[i++];
        }
        return i == demands.length
                ? UNLIMITED_RATE
                : Math.max(MIN_RATE, left / (demands.length - i));
    }

    /**
     * The others' load grows by this share: a replica left (below 0: one came), or a proxy's
     * traffic did.
     */
    void expectLoadChange(double share) {
        for (int i = recentAdmittedShares.size(); i > 0; i--) {
            recentAdmittedShares.addLast(
                    recentAdmittedShares.pollFirst() * Math.max(MIN_REMAINING_LOAD, 1 - share));
        }
    }

    private static String percent(double share) {
        return Math.round(share * 100) + "%";
    }
}
