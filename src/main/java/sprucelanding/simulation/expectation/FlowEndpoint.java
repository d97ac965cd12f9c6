package sprucelanding.simulation.expectation;

import java.util.OptionalDouble;

/** The actual state of an endpoint of a flow. Times are in milliseconds. */
final class FlowEndpoint {
    private static final int FIRST_ID = 1000;

    private final int position;
    private final int zone;
    private final int kind;
    private final double capacity;
    private boolean up = true;
    private boolean draining;
    private OptionalDouble forcedUtilization = OptionalDouble.empty();
    private double startedAt;
    private double utilization;

    /**
     * Creates an endpoint that is up.
     *
     * @param kind position of the machine kind in the scenario
     * @param capacity milliseconds of work that the endpoint completes per millisecond
     */
    FlowEndpoint(int position, int zone, int kind, double capacity) {
        this.position = position;
        this.zone = zone;
        this.kind = kind;
        this.capacity = capacity;
    }

    int position() {
        return position;
    }

    long id() {
        return FIRST_ID + position;
    }

    int zone() {
        return zone;
    }

    int kind() {
        return kind;
    }

    double capacity() {
        return capacity;
    }

    boolean isUp() {
        return up;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isReady() {
        return up && !draining;
    }

    double startedAt() {
        return startedAt;
    }

    /** Returns the utilization that the endpoint reports, from 0 to 1. */
    double utilization() {
        return utilization;
    }

    void end() {
        up = false;
    }

    void drain() {
        draining = true;
    }

    void start(double now) {
        up = true;
        draining = false;
        startedAt = now;
    }

    /** Replaces the reported utilization by a fixed value. */
    void forceUtilization(double forced) {
        forcedUtilization = OptionalDouble.of(forced);
    }

    /**
     * Moves the utilization halfway towards the utilization that a load causes.
     *
     * @param load milliseconds of work that arrive per millisecond
     */
    void updateUtilization(double load) {
        double target = Math.min(1, load / capacity);
        utilization = forcedUtilization.orElse(utilization + (target - utilization) / 2);
    }
}
