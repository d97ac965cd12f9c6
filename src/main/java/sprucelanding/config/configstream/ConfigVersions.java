package sprucelanding.config.configstream;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Decides which of the numbered configuration versions of one governor is in force. The host checks
 * one version at a time, always the newest version that was offered. A version that a newer version
 * supersedes before its check is rejected unchecked, so that a flood of versions causes one check
 * at a time. A valid version waits for a calm fleet and then comes into force on probation. After
 * the probation the version becomes the last good version. The version is rolled back if service
 * drops. {@link VersionState} has the table of transitions.
 *
 * <p>The host sets the time with {@link #advanceTo}, reports an event, then calls {@link #decide}
 * until {@link #decide} returns false. Times are in ms on the clock of the host. The class is not
 * thread safe.
 */
public final class ConfigVersions {
    /**
     * Configuration version as the source offered it.
     *
     * @param number number of the version, which must be higher than all numbers before
     * @param digest digest of the content; equal digests mean equal content
     */
    public record Version(long number, String digest) {}

    /** Actions that the host performs for the decisions. */
    public interface Actions {
        /** Checks a version, then reports the result with {@link ConfigVersions#versionChecked}. */
        void checkVersion(Version version);

        /** Applies a version, which is in force from now on. */
        void applyVersion(Version version);

        /** Stores the version that is in force, so that a restart begins with this version. */
        void persistVersion(Version version);

        /**
         * Tells the source that a version was rejected and the governor keeps the version in force.
         */
        void rejectVersion(Version version, String reason);

        /** Applies the last good version again in place of the version on probation. */
        void rollBack(Version from, Version to, String reason);

        /** Logs a text with figures, given as alternating names and values. */
        void logEvent(String text, Object... figures);
    }

    /**
     * Rejection that waits for {@link #decide}, which formats the reason from the state at that
     * time.
     */
    private record Rejection(Version version, Supplier<String> reason) {}

    /** Longest time that a valid version waits for a calm fleet. */
    private static final double MAX_CALM_WAIT_MS = 60_000;

    /** Time for which a version on probation can be rolled back. */
    private static final double PROBATION_MS = 30_000;

    private final Set<String> immutablePathPrefixes;
    private final TrackedVersions versions;
    private final RejectedDigests rejectedDigests = new RejectedDigests();
    private final ServiceMonitor serviceMonitor = new ServiceMonitor();
    private final ArrayDeque<Rejection> pendingRejections = new ArrayDeque<>();
    private Version newest;
    private double nowMs;
    private double acceptedAtMs;
    private double appliedAtMs;

    /**
     * Creates a tracker whose version in force is the last stored one.
     *
     * @param lastGood version that was stored last and is in force
     * @param immutablePathPrefixes path prefixes of the fields that cannot change in service
     */
    public ConfigVersions(Version lastGood, Set<String> immutablePathPrefixes) {
        this.versions = new TrackedVersions(lastGood);
        this.newest = lastGood;
        this.immutablePathPrefixes = Set.copyOf(immutablePathPrefixes);
    }

    /** Sets the current time in ms. Ignores a time before the current time. */
    public void advanceTo(double timeMs) {
        nowMs = Math.max(nowMs, timeMs);
    }

    /**
     * Accepts a version that the source sent completely. The host does not call this method if the
     * stream ends within a version.
     */
    public void versionOffered(Version version) {
        if (version.equals(newest)) {
            return; // sent again after the stream broke; the first offer gets the answer
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
        rejectSuperseded(VersionState.OFFERED, version);
        rejectSuperseded(VersionState.ACCEPTED, version);
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

    private void rejectSuperseded(VersionState state, Version newer) {
        if (!versions.isEmpty(state)) {
            Version superseded = versions.move(state, VersionState.REJECTED);
            addRejection(superseded, "overtaken by " + newer.number);
        }
    }

    /**
     * Reports the end of the host's checks. Ignores a version that is not being checked.
     *
     * @param version the same object that {@link Actions#checkVersion} received
     * @param faults faults of the version; empty if the version is valid
     * @param changedFields paths of the fields whose values differ from the version in force
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
            rejectSuperseded(VersionState.CHECKING, newer.get());
            return;
        }
        versions.move(VersionState.CHECKING, VersionState.ACCEPTED);
        acceptedAtMs = nowMs;
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
     * @param serviceShare recent service, 0 to 1
     * @param fleetIsCalm whether no loss or rejection is in progress that a change could make worse
     */
    public void serviceReported(double serviceShare, boolean fleetIsCalm) {
        serviceMonitor.serviceReported(
                nowMs, serviceShare, fleetIsCalm, !versions.isEmpty(VersionState.PROBATION));
    }

    /** Returns the version in force. */
    public Version inForce() {
        return versions.in(VersionState.PROBATION).orElseGet(this::lastGood);
    }

    /** Returns the last version that passed its probation, or the initial version. */
    public Version lastGood() {
        return versions.in(VersionState.LAST_GOOD).orElseThrow();
    }

    /** Makes one decision. Returns false if no decision is due. */
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
            appliedAtMs = nowMs;
            serviceMonitor.probationStarted();
            output.applyVersion(version);
            return true;
        }
        if (nowMs - acceptedAtMs > MAX_CALM_WAIT_MS) {
            Version version = versions.move(VersionState.ACCEPTED, VersionState.REJECTED);
            output.rejectVersion(
                    version,
                    "the fleet was not calm for "
                            + Math.round(MAX_CALM_WAIT_MS / 1000)
                            + " s; offer it again");
            return true;
        }
        return false;
    }

    private boolean reviewProbation(Actions output) {
        if (serviceMonitor.hasDropped(nowMs)) {
            if (serviceMonitor.wasDisturbedBeforeDrop()) {
                reportDisturbedDrop(output);
            } else {
                rollBack(output);
            }
            return true;
        }
        if (nowMs - appliedAtMs > PROBATION_MS && !serviceMonitor.isLow()) {
            versions.move(VersionState.LAST_GOOD, VersionState.REPLACED);
            output.persistVersion(versions.move(VersionState.PROBATION, VersionState.LAST_GOOD));
            return true;
        }
        return false;
    }

    /**
     * Logs a drop of service that a fault of the fleet may have caused. Operators decide whether
     * the version is rolled back.
     */
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
                        (nowMs - appliedAtMs) / 1000));
    }
}
