package sprucelanding.simulation.expectation;

import java.util.OptionalDouble;

/** An endpoint of a flow, as it truly is. Times are in milliseconds. */
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
     * @param kind position of its kind
     * @param capacity work per millisecond, in milliseconds
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

    /** Returns the utilization that it reports, from 0 to 1. */
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

    /** Makes it report this utilization in place of its own. */
    void forceUtilization(double forced) {
        forcedUtilization = OptionalDouble.of(forced);
    }

    /** Moves the utilization half of the way to that of a load, in work per millisecond. */
    void updateUtilization(double load) {
        double target = Math.min(1, load / capacity);
        utilization = forcedUtilization.orElse(utilization + (target - utilization) / 2);
    }
}
