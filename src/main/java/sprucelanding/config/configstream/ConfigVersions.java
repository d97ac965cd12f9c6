package sprucelanding.config.configstream;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Decides which of one governor's numbered configuration versions comes in force. The newest one
 * offered is checked, one at a time; a version that is overtaken meanwhile is rejected unchecked,
 * so that a flood costs one check at a time. A valid version waits for a calm fleet, comes in force
 * on probation, and becomes the last good one, or is rolled back if service drops. {@link
 * VersionState} has the table of transitions.
 *
 * <p>The host tells the time by {@link #advanceTo}, then what happened, then calls {@link #decide}
 * until it returns false. Times are ms on the host's clock. Not thread safe.
 */
public final class ConfigVersions {
    /**
     * A version as it was offered.
     *
     * @param number its number, which must grow
     * @param digest digest of its content; the same digest is the same content
     */
    public record Version(long number, String digest) {}

    /** What the host does for the decisions. */
    public interface Actions {
        /** Checks a version, then reports by {@link ConfigVersions#versionChecked}. */
        void checkVersion(Version version);

        /** Brings a version in force now. */
        void applyVersion(Version version);

        /** Stores a version, which is in force, so that a restart begins with it. */
        void persistVersion(Version version);

        /** Answers to the source that it goes on with the version it had. */
        void rejectVersion(Version version, String reason);

        /** Brings the last good version in force again, in place of another. */
        void rollBack(Version from, Version to, String reason);

        /** Logs a text and figures, which are names and values in turn. */
        void logEvent(String text, Object... figures);
    }

    /** A rejection that waits for {@link #decide}; the reason is worded then. */
    private record Rejection(Version version, Supplier<String> reason) {}

    /** How long a valid version waits for a calm fleet. */
    private static final double MAX_CALM_WAIT_MILLIS = 60_000;

    /** How long a version can be rolled back. */
    private static final double PROBATION_MILLIS = 30_000;

    private final Set<String> immutablePathPrefixes;
    private final TrackedVersions versions;
    private final RejectedDigests rejectedDigests = new RejectedDigests();
    private final ServiceMonitor serviceMonitor = new ServiceMonitor();
    private final ArrayDeque<Rejection> pendingRejections = new ArrayDeque<>();
    private Version newest;
    private double now;
    private double acceptedAt;
    private double appliedAt;

    /**
     * Starts with a version that is in force.
     *
     * @param lastGood the version that was stored last
     * @param immutablePathPrefixes prefixes of the paths of fields that cannot change in service
     */
    public ConfigVersions(Version lastGood, Set<String> immutablePathPrefixes) {
        this.versions = new TrackedVersions(lastGood);
        this.newest = lastGood;
        this.immutablePathPrefixes = Set.copyOf(immutablePathPrefixes);
    }

    /** Tells the time in ms; it never goes back. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** The source sent a whole version. A stream that ends within one offers none. */
    public void versionOffered(Version version) {
        if (version.equals(newest)) {
            return; // told again after the stream broke: it was or will be answered
        }
        if (version.number <= newest.number) {
            pendingRejections.add(new Rejection(version, () -> staleReason(version)));
            return;
        }
        newest = version;
        if (rejectedDigests.contains(version.digest)) {
            addRejection(version, "the same content was refused or taken back before");
            return;
        }
        rejectOvertaken(VersionState.OFFERED, version);
        rejectOvertaken(VersionState.ACCEPTED, version);
        versions.offer(version);
    }

    private String staleReason(Version version) {
        return version.number == newest.number
                ? "number " + version.number + " was used for other content"
                : "it goes back: " + newest.number + " was offered before";
    }

    private void addRejection(Version version, String reason) {
        pendingRejections.add(new Rejection(version, () -> reason));
    }

    private void rejectOvertaken(VersionState state, Version newer) {
        if (!versions.isEmpty(state)) {
            Version overtaken = versions.move(state, VersionState.REJECTED);
            addRejection(overtaken, "overtaken by " + newer.number);
        }
    }

    /**
     * The host's checks ended.
     *
     * @param version the version, as {@link Actions#checkVersion} was given it
     * @param faults what is wrong with it; empty if nothing
     * @param changedFields paths of the fields whose values differ from those in force
     */
    public void versionChecked(Version version, List<String> faults, List<String> changedFields) {
        if (version != versions.in(VersionState.CHECKING).orElse(null)) {
            return;
        }
        Optional<String> fault = faultOf(faults, changedFields);
        if (fault.isPresent()) {
            versions.move(VersionState.CHECKING, VersionState.REJECTED);
            rejectedDigests.addRejected(version.digest);
            addRejection(version, fault.get());
            return;
        }
        Optional<Version> newer = versions.in(VersionState.OFFERED);
        if (newer.isPresent()) {
            rejectOvertaken(VersionState.CHECKING, newer.get());
            return;
        }
        versions.move(VersionState.CHECKING, VersionState.ACCEPTED);
        acceptedAt = now;
    }

    private Optional<String> faultOf(List<String> faults, List<String> changedFields) {
        if (!faults.isEmpty()) {
            return Optional.of(String.join("; ", faults));
        }
        return changedFields.stream()
                .filter(field -> immutablePathPrefixes.stream().anyMatch(field::startsWith))
                .findFirst()
                .map(field -> field + " cannot change in service");
    }

    /**
     * Reports the fleet's state.
     *
     * @param serviceShare service of late, 0 to 1
     * @param fleetIsCalm whether nothing is lost or rejected that a change could make worse
     */
    public void serviceReported(double serviceShare, boolean fleetIsCalm) {
        serviceMonitor.serviceReported(
                now, serviceShare, fleetIsCalm, !versions.isEmpty(VersionState.PROBATION));
    }

    /** The version in force. */
    public Version inForce() {
        return versions.in(VersionState.PROBATION).orElseGet(this::lastGood);
    }

    /** The last version that passed its probation. */
    public Version lastGood() {
        return versions.in(VersionState.LAST_GOOD).orElseThrow();
    }

    /** Makes one decision; false if there is none to make now. */
    public boolean decide(Actions output) {
        Rejection rejection = pendingRejections.poll();
        if (rejection != null) {
            output.rejectVersion(rejection.version, rejection.reason.get());
            return true;
        }
        if (!versions.isEmpty(VersionState.PROBATION)) {
            return reviewProbation(output) || checkNext(output);
        }
        if (!versions.isEmpty(VersionState.ACCEPTED)) {
            return reviewAccepted(output) || checkNext(output);
        }
        return checkNext(output);
    }

    private boolean checkNext(Actions output) {
        if (versions.isEmpty(VersionState.OFFERED) || !versions.isEmpty(VersionState.CHECKING)) {
            return false;
        }
        output.checkVersion(versions.move(VersionState.OFFERED, VersionState.CHECKING));
        return true;
    }

    private boolean reviewAccepted(Actions output) {
        if (serviceMonitor.isFleetCalm()) {
            Version version = versions.move(VersionState.ACCEPTED, VersionState.PROBATION);
            appliedAt = now;
            serviceMonitor.probationStarted();
            output.applyVersion(version);
            return true;
        }
        if (now - acceptedAt > MAX_CALM_WAIT_MILLIS) {
            Version version = versions.move(VersionState.ACCEPTED, VersionState.REJECTED);
            output.rejectVersion(
                    version,
                    "the fleet was not calm for "
                            + Math.round(MAX_CALM_WAIT_MILLIS / 1000)
                            + " s; offer it again");
            return true;
        }
        return false;
    }

    private boolean reviewProbation(Actions output) {
        if (serviceMonitor.hasDropped(now)) {
            if (serviceMonitor.wasDisturbedBeforeDrop()) {
                reportDisturbedDrop(output);
            } else {
                rollBack(output);
            }
            return true;
        }
        if (now - appliedAt > PROBATION_MILLIS && !serviceMonitor.isLow()) {
            versions.move(VersionState.LAST_GOOD, VersionState.REPLACED);
            output.persistVersion(versions.move(VersionState.PROBATION, VersionState.LAST_GOOD));
            return true;
        }
        return false;
    }

    /** A fault of the fleet may be why service dropped: the decision is left to operators. */
    private void reportDisturbedDrop(Actions output) {
        serviceMonitor.forgetDrop();
        output.logEvent(
                "service fell under a version on probation, but the fleet is not calm",
                "version",
                inForce().number);
    }

    private void rollBack(Actions output) {
        Version from = versions.move(VersionState.PROBATION, VersionState.ROLLED_BACK);
        rejectedDigests.addRolledBack(from.digest);
        output.rollBack(
                from,
                lastGood(),
                String.format(
                        Locale.ROOT,
                        "service fell from %.3f to %.3f within %.0f s of it",
                        serviceMonitor.baselineService(),
                        serviceMonitor.averageService(),
                        (now - appliedAt) / 1000));
    }
}
