package sprucelanding.simulation.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.replay.estimate.EndpointRecord;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.FaultInterval;
import sprucelanding.simulation.scenario.FaultTarget;

/**
 * Fault plan that repeats the endpoint list changes and the faults of a captured run in an emulated
 * fleet.
 */
final class CapturedFaults implements FaultPlan {
    /**
     * Difference in time up to which an endpoint record and a fault interval are the same event.
     */
    private static final double MATCH_TOLERANCE_MILLIS = 1;

    private final EstimatedFleet estimate;

    CapturedFaults(EstimatedFleet estimate) {
        this.estimate = estimate;
    }

    @Override
    public void schedule(EmulatedFleet fleet) {
        Map<Long, Integer> indexById = new HashMap<>();
        for (int index = 0; index < fleet.endpoints.size(); index++) {
            indexById.put(fleet.endpoints.get(index).id, index);
        }
        for (EndpointRecord record : estimate.endpointRecords()) {
            Integer endpoint = indexById.get(record.endpointId());
            if (record.at() > 0 && endpoint != null) {
                scheduleListChange(fleet, record, endpoint);
            }
        }
        for (FaultInterval interval : estimate.faults()) {
            Integer endpoint = indexById.get(interval.subject());
            if (!concernsEndpoint(interval) || endpoint != null) {
                scheduleFault(fleet, interval, endpoint);
            }
        }
    }

    private void scheduleListChange(EmulatedFleet fleet, EndpointRecord record, int endpoint) {
        FaultTarget target = fleet.faultTarget();
        double changesAt = fleet.startsAt() + record.at();
        fleet.clock.schedule(
                changesAt,
                () -> target.announceToDiscovery(List.of(endpoint), listedState(record), 0));
        if (record.state() == EndpointState.GONE && !wasDown(record) && !isListedAgain(record)) {
            fleet.clock.schedule(changesAt, () -> target.crashEndpoint(endpoint));
        }
    }

    private static ListedEndpoint.State listedState(EndpointRecord record) {
        return switch (record.state()) {
            case AVAILABLE -> ListedEndpoint.State.READY;
            case DRAINING -> ListedEndpoint.State.DRAINING;
            default -> ListedEndpoint.State.GONE;
        };
    }

    /** Returns whether the endpoint was down at the time of the record. */
    private boolean wasDown(EndpointRecord record) {
        return estimate.faults().stream()
                .anyMatch(
                        interval ->
                                interval.subject() == record.endpointId()
                                        && interval.type() == FaultInterval.FaultType.DOWN
                                        && interval.from() < record.at() + MATCH_TOLERANCE_MILLIS
                                        && interval.to() > record.at() - MATCH_TOLERANCE_MILLIS);
    }

    /** Returns whether the endpoint is listed again after the record. */
    private boolean isListedAgain(EndpointRecord record) {
        return estimate.endpointRecords().stream()
                .anyMatch(
                        later ->
                                later.endpointId() == record.endpointId()
                                        && later.at() > record.at());
    }

    /** Returns whether the fault affects an endpoint: all types declared before {@code CUT} do. */
    private static boolean concernsEndpoint(FaultInterval interval) {
        return interval.type().compareTo(FaultInterval.FaultType.CUT) < 0;
    }

    private static void scheduleFault(
            EmulatedFleet fleet, FaultInterval interval, Integer endpoint) {
        FaultTarget target = fleet.faultTarget();
        double restartMillis =
                interval.type() == FaultInterval.FaultType.GOVERNOR_DEAD
                        ? EmulatedGovernor.START_MILLIS
                        : 0;
        double endsAt = Math.max(interval.from(), interval.to() - restartMillis);
        fleet.clock.schedule(
                fleet.startsAt() + interval.from(), () -> begin(target, interval, endpoint));
        fleet.clock.schedule(fleet.startsAt() + endsAt, () -> end(target, interval, endpoint));
    }

    private static void begin(FaultTarget target, FaultInterval interval, Integer endpoint) {
        int subject = (int) interval.subject();
        switch (interval.type()) {
            case DOWN -> target.crashEndpoint(endpoint);
            case SILENT -> target.setEndpointHanging(endpoint, true);
            case SLOWER -> target.setEndpointSlowdown(endpoint, interval.severity());
            case FAILS -> target.setEndpointFailureShare(endpoint, interval.severity());
            case CUT -> target.setZoneCut(subject, true);
            case GOVERNOR_DEAD -> {
                if (hasGovernor(target, subject)) {
                    target.killGovernor(subject);
                }
            }
            default -> {
                if (hasGovernor(target, subject)) {
                    target.setGovernorPaused(subject, true);
                }
            }
        }
    }

    private static void end(FaultTarget target, FaultInterval interval, Integer endpoint) {
        int subject = (int) interval.subject();
        switch (interval.type()) {
            case DOWN -> target.startEndpoint(endpoint);
            case SILENT -> target.setEndpointHanging(endpoint, false);
            case SLOWER -> target.setEndpointSlowdown(endpoint, 1);
            case FAILS -> target.setEndpointFailureShare(endpoint, 0);
            case CUT -> target.setZoneCut(subject, false);
            case GOVERNOR_DEAD -> {
                if (hasGovernor(target, subject)) {
                    target.startGovernor(subject);
                }
            }
            default -> {
                if (hasGovernor(target, subject)) {
                    target.setGovernorPaused(subject, false);
                }
            }
        }
    }

    /**
     * Returns whether the fleet has this governor. A run with a baseline policy has no governors.
     */
    private static boolean hasGovernor(FaultTarget target, int governor) {
        return governor < target.governorCount();
    }
}
