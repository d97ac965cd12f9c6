package sprucelanding.config.configstream;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The versions that are not in a final state: at most one in each state. */
final class TrackedVersions {
    private final Map<VersionState, ConfigVersions.Version> versionByState =
            new EnumMap<>(VersionState.class);

    TrackedVersions(ConfigVersions.Version lastGood) {
        versionByState.put(VersionState.LAST_GOOD, lastGood);
    }

    /** The version in a state, if there is one. */
    Optional<ConfigVersions.Version> in(VersionState state) {
        return Optional.ofNullable(versionByState.get(state));
    }

    boolean isEmpty(VersionState state) {
        return !versionByState.containsKey(state);
    }

    /** Enters a version that was just offered; no other may wait to be checked. */
    void offer(ConfigVersions.Version version) {
        enter(version, VersionState.OFFERED);
    }

    /**
     * Moves the version in a state to another state.
     *
     * @return the version
     * @throws IllegalStateException if there is none, or it must not go there
     */
    ConfigVersions.Version move(VersionState from, VersionState to) {
        if (!from.canBecome(to)) {
            throw new IllegalStateException(from + " cannot become " + to);
        }
        ConfigVersions.Version version = versionByState.remove(from);
        if (version == null) {
            throw new IllegalStateException("no version is " + from);
        }
        if (!to.isFinal()) {
            enter(version, to);
        }
        return version;
    }

    private void enter(ConfigVersions.Version version, VersionState state) {
        if (versionByState.putIfAbsent(state, version) != null) {
            throw new IllegalStateException("a version is " + state + " already");
        }
    }
}
