package sprucelanding.config.configstream;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Configuration versions that are not in a final state. Holds at most one version per state. */
final class TrackedVersions {
    private final Map<VersionState, ConfigVersions.Version> versionByState =
            new EnumMap<>(VersionState.class);

    TrackedVersions(ConfigVersions.Version lastGood) {
        versionByState.put(VersionState.LAST_GOOD, lastGood);
    }

    /** Returns the version in a state, if there is one. */
    Optional<ConfigVersions.Version> in(VersionState state) {
        return Optional.ofNullable(versionByState.get(state));
    }

    boolean isEmpty(VersionState state) {
        return !versionByState.containsKey(state);
    }

    /**
     * Adds a version that was just offered.
     *
     * @throws IllegalStateException if another version waits to be checked
     */
    void offer(ConfigVersions.Version version) {
        enter(version, VersionState.OFFERED);
    }

    /**
     * Moves the version in a state to another state.
     *
     * @return the version
     * @throws IllegalStateException if there is no version in the state, the transition is not
     *     allowed, or another version is in the new state
     */
    ConfigVersions.Version move(VersionState from, VersionState to) {
        if (!from.canBecome(to)) {
            throw new IllegalStateException("a version cannot change from " + from + " to " + to);
        }
        ConfigVersions.Version version = versionByState.remove(from);
        if (version == null) {
            throw new IllegalStateException("no version is in state " + from);
        }
        if (!to.isFinal()) {
            enter(version, to);
        }
        return version;
    }

    private void enter(ConfigVersions.Version version, VersionState state) {
        if (versionByState.putIfAbsent(state, version) != null) {
            throw new IllegalStateException("another version is already in state " + state);
        }
    }
}
