package sprucelanding.config.configstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class VersionStateTest {
    private final ConfigVersions.Version initial = new ConfigVersions.Version(1, "a");
    private final ConfigVersions.Version next = new ConfigVersions.Version(2, "b");
    private final TrackedVersions versions = new TrackedVersions(initial);

    private static List<VersionState> successors(VersionState state) {
        return Arrays.stream(VersionState.values()).filter(state::canBecome).toList();
    }

    @Test
    void transitionsAreThoseOfTheTable() {
        assertEquals(
                List.of(VersionState.CHECKING, VersionState.REJECTED),
                successors(VersionState.OFFERED));
        assertEquals(
                List.of(VersionState.ACCEPTED, VersionState.REJECTED),
                successors(VersionState.CHECKING));
        assertEquals(
                List.of(VersionState.PROBATION, VersionState.REJECTED),
                successors(VersionState.ACCEPTED));
        assertEquals(
                List.of(VersionState.LAST_GOOD, VersionState.ROLLED_BACK),
                successors(VersionState.PROBATION));
        assertEquals(List.of(VersionState.REPLACED), successors(VersionState.LAST_GOOD));
    }

    @Test
    void finalStatesAreThoseThatAVersionNeverLeaves() {
        assertEquals(
                List.of(VersionState.REJECTED, VersionState.ROLLED_BACK, VersionState.REPLACED),
                Arrays.stream(VersionState.values()).filter(VersionState::isFinal).toList());
    }

    @Test
    void versionThatReachesAFinalStateIsNoLongerTracked() {
        versions.offer(next);
        assertEquals(next, versions.move(VersionState.OFFERED, VersionState.REJECTED));
        assertTrue(versions.isEmpty(VersionState.OFFERED));
        assertTrue(versions.isEmpty(VersionState.REJECTED));
        assertEquals(Optional.of(initial), versions.in(VersionState.LAST_GOOD));
    }

    @Test
    void transitionThatIsNotInTheTableIsAnError() {
        versions.offer(next);
        assertThrows(
                IllegalStateException.class,
                () -> versions.move(VersionState.OFFERED, VersionState.PROBATION));
        assertEquals(Optional.of(next), versions.in(VersionState.OFFERED));
    }

    @Test
    void secondVersionInOneStateIsAnError() {
        versions.offer(next);
        ConfigVersions.Version other = new ConfigVersions.Version(3, "c");
        assertThrows(IllegalStateException.class, () -> versions.offer(other));
    }
}
