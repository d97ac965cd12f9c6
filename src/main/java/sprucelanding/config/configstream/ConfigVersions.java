package sprucelanding.config.configstream;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One governor's numbered versions of its configuration. The newest one offered is checked, one at
 * a time; what is overtaken meanwhile is refused unchecked, so that a flood costs one check at a
 * time. A good one waits for a calm fleet, comes in force on probation, and is kept as the last
 * good one, or taken back if service falls. Call clock, then what happened, then decide until it
 * says false.
 */
public final class ConfigVersions {
    /** A version as it was offered; content is told by its digest. */
    public record Version(long number, String digest) {}

    public interface Actions {
        /** The host is to check it: types, then expectations; checked tells what came of it. */
        void checkVersion(Version version);

        /** It is to come in force, now. */
        void applyVersion(Version version);

        /** It stays in force and must last: a restart begins with it. */
        void persistVersion(Version version);

        /** The answer to the source: it goes on with what it had. */
        void rejectVersion(Version version, String reason);

        /** Back to the last good one, from this one. */
        void rollBack(Version from, Version to, String reason);

        void logEvent(String text, Object... figures);
    }

    private static final double MAX_CALM_WAIT_MILLIS =
            60_000; // ms that a good one waits for a calm fleet at the most
    private static final double PROBATION_MILLIS = 30_000; // ms in which it can be taken back
    private static final double MAX_SERVICE_DROP = 0.05; // of service, against before
    private static final double MIN_DROP_MILLIS = 5000; // ms that a fall lasts until it counts
    private static final double AVERAGING_MILLIS =
            10_000; // ms over which service before is averaged
    private static final int MAX_REJECTED_DIGESTS =
            1000; // digests that were refused or taken back, not tried again

    private final Set<String> immutablePathPrefixes;
    private final LinkedHashSet<String> rejectedDigests = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private Version lastGood;
    private Version inForce;
    private Version offeredVersion;
    private Version checking;
    private Version accepted;
    private long newestNumber;
    private String newestDigest = "";
    private Actions actions;
    private double now;
    private double acceptedSince;
    private double appliedAt;
    private double baselineService = Double.NaN;
    private double averageService = Double.NaN;
    private double serviceReportedAt = Double.NaN;
    private double lowSince = Double.NaN;
    private boolean fleetCalm = true;
    private boolean disturbedBeforeDrop;

    /**
     * @param good the last good one, kept from before; it is in force
     * @param fixed fields that cannot change in service, by the begin of their paths
     */
    public ConfigVersions(Version lastGood, Set<String> immutablePathPrefixes) {
        this.lastGood = lastGood;
        this.inForce = lastGood;
        this.newestNumber = lastGood.number;
        this.newestDigest = lastGood.digest;
        this.immutablePathPrefixes = Set.copyOf(immutablePathPrefixes);
    }

    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** The source sent a whole version. A stream that ends in the middle of one offers none. */
    public void versionOffered(Version version) {
        if (version.number == newestNumber && version.digest.equals(newestDigest)) {
            return; // told again, after a stream broke: it was or will be answered
        }
        if (version.number <= newestNumber) {
            pendingActions.add(
                    () ->
                            actions.rejectVersion(
                                    version,
                                    version.number == newestNumber
                                            ? "number "
                                                    + version.number
                                                    + " was used for other content"
                                            : "it goes back: "
                                                    + newestNumber
                                                    + " was offered before"));
            return;
        }
        newestNumber = version.number;
        newestDigest = version.digest;
        if (rejectedDigests.contains(version.digest)) {
            pendingActions.add(
                    () ->
                            actions.rejectVersion(
                                    version, "the same content was refused or taken back before"));
            return;
        }
        rejectOvertaken(offeredVersion, version);
        rejectOvertaken(accepted, version);
        accepted = null;
        offeredVersion = version;
    }

    private void rejectOvertaken(Version overtakenVersion, Version newerVersion) {
        if (overtakenVersion != null) {
            pendingActions.add(
                    () ->
                            actions.rejectVersion(
                                    overtakenVersion, "overtaken by " + newerVersion.number));
        }
    }

    /**
     * What the host's checks found: faults, and the fields whose values differ from those in force.
     */
    public void versionChecked(Version version, List<String> faults, List<String> changedFields) {
        if (version != checking) {
            return;
        }
        checking = null;
        String immutableField =
                changedFields.stream()
                        .filter(field -> immutablePathPrefixes.stream().anyMatch(field::startsWith))
                        .findFirst()
                        .orElse(null);
        if (!faults.isEmpty() || immutableField != null) {
            reject(
                    version,
                    !faults.isEmpty()
                            ? String.join("; ", faults)
                            : immutableField + " cannot change in service");
        } else if (offeredVersion != null) {
            rejectOvertaken(version, offeredVersion);
        } else {
            accepted = version;
            acceptedSince = now;
        }
    }

    private void reject(Version version, String reason) {
        rejectedDigests.add(version.digest);
        if (rejectedDigests.size() > MAX_REJECTED_DIGESTS) {
            rejectedDigests.remove(rejectedDigests.iterator().next());
        }
        pendingActions.add(() -> actions.rejectVersion(version, reason));
    }

    /**
     * Service of late, 0 to 1, and whether the fleet is calm: nothing lost or declined that a
     * change could make worse.
     */
    public void serviceReported(double serviceShare, boolean fleetIsCalm) {
        double smoothing =
                Double.isNaN(serviceReportedAt)
                        ? 1
                        : Math.min(1, (now - serviceReportedAt) / AVERAGING_MILLIS);
        serviceReportedAt = now;
        averageService =
                Double.isNaN(averageService)
                        ? serviceShare
                        : averageService + (serviceShare - averageService) * smoothing;
        fleetCalm = fleetIsCalm;
        disturbedBeforeDrop |=
                !fleetCalm && Double.isNaN(lowSince); // trouble that began before service fell
        boolean belowBaseline =
                inForce != lastGood && serviceShare < baselineService - MAX_SERVICE_DROP;
        lowSince = !belowBaseline ? Double.NaN : Double.isNaN(lowSince) ? now : lowSince;
    }

    public Version inForce() {
        return inForce;
    }

    public Version lastGood() {
        return lastGood;
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions output) {
        actions = output;
        Runnable first = pendingActions.poll();
        if (first != null) {
            first.run();
            return true;
        }
        if (inForce != lastGood) {
            return reviewProbation(output);
        }
        if (accepted != null && fleetCalm) {
            Version next = accepted;
            accepted = null;
            baselineService = averageService;
            inForce = next;
            appliedAt = now;
            disturbedBeforeDrop = false;
            lowSince = Double.NaN;
            output.applyVersion(next);
            return true;
        }
        if (accepted != null && now - acceptedSince > MAX_CALM_WAIT_MILLIS) {
            Version expired = accepted;
            accepted = null;
            output.rejectVersion(
                    expired,
                    "the fleet was not calm for "
                            + Math.round(MAX_CALM_WAIT_MILLIS / 1000)
                            + " s; offer it again");
            return true;
        }
        return checkNext(output);
    }

    private boolean checkNext(Actions output) {
        if (offeredVersion != null && checking == null) {
            checking = offeredVersion;
            offeredVersion = null;
            output.checkVersion(checking);
            return true;
        }
        return false;
    }

    private boolean reviewProbation(Actions output) {
        if (now - lowSince > MIN_DROP_MILLIS && !disturbedBeforeDrop) {
            Version from = inForce;
            inForce = lastGood;
            rejectedDigests.add(from.digest);
            output.rollBack(
                    from,
                    lastGood,
                    String.format(
                            java.util.Locale.ROOT,
                            "service fell from %.3f to %.3f within %.0f s of it",
                            baselineService,
                            averageService,
                            (now - appliedAt) / 1000));
            return true;
        }
        if (now - lowSince > MIN_DROP_MILLIS
                && disturbedBeforeDrop) { // the fleet's own trouble may be why: told, and left to
            // staff
            lowSince = Double.NaN;
            output.logEvent(
                    "service fell under a version on probation, but the fleet is not calm",
                    "version",
                    inForce.number);
            return true;
        }
        if (now - appliedAt > PROBATION_MILLIS && Double.isNaN(lowSince)) {
            lastGood = inForce;
            output.persistVersion(lastGood);
            return true;
        }
        return checkNext(output);
    }
}
