package sprucelanding.simulation.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests random, overlapping faults on real governor processes. The version before incident 1
 * violated the drain rule with these seeds.
 */
class SoakTest {
    @ParameterizedTest
    @ValueSource(longs = {5, 11})
    void randomFaultsBreakNoRule(long seed, @TempDir Path folder) throws Exception {
        SoakRunner.Report report =
                SoakRunner.run(SoakPlan.random(seed, 25_000, 5, 300, 500), folder);
        assertEquals(Map.of(), report.violations(), report.toString());
    }

    /** Guards against ejections and tables that outlive their cause when zones are lost. */
    @ParameterizedTest
    @ValueSource(longs = {1})
    void lostAndDrainedZonesBreakNoRule(long seed, @TempDir Path folder) throws Exception {
        SoakRunner.Report report = SoakRunner.run(SoakPlan.zoneFaults(seed, 54_000, 3, 60), folder);
        assertEquals(Map.of(), report.violations(), report.toString());
    }
}
