package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.rules.Verdict;
import sprucelanding.simulation.scenario.Scenario;

/**
 * One emulated run of an experiment: a scenario with one setting and one seed.
 *
 * @param scenarioText full text of the scenario file
 * @param setting name of the setting
 * @param overlayName file name of the overlay; null for none
 * @param overlay full text of the overlay; null for none
 * @param durationMillis duration for which the scenario is played
 */
record Trial(
        String scenarioName,
        String scenarioText,
        Scenario scenario,
        String setting,
        String overlayName,
        String overlay,
        RoutingPolicy policy,
        long seed,
        double durationMillis) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int KEY_BYTES = 12;
    private static final double WINDOW_SCALE = 1e4;
    private static final double SAMPLE_SCALE = 1e3;

    /** Returns a key that depends on the contents of the trial's files and not on their names. */
    String key() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part :
                    new String[] {
                        scenarioText,
                        overlay == null ? "" : overlay,
                        policy.name(),
                        Long.toString(seed),
                        Double.toString(durationMillis)
                    }) {
                digest.update(part.getBytes(StandardCharsets.UTF_8));
                digest.update((byte) 0);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, KEY_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Plays the trial in the emulator and returns the result in its stored form. */
    ObjectNode run() throws InvalidRecordsException {
        Scenario seeded = scenario.withSeed(seed);
        Emulation.Result result =
                Emulation.play(
                        seeded,
                        durationMillis,
                        Emulation.governorConfigs(seeded, overlayName, overlay),
                        policy,
                        Emulation.EmulationListener.NONE);
        ObjectNode node = summary(result);
        node.set("products", result.outcome().figures().path("products"));
        ArrayNode broken = node.putArray("broken");
        result.verdicts().stream()
                .filter(verdict -> !verdict.kept())
                .map(Verdict::rule)
                .forEach(broken::add);
        ArrayNode windows = node.putArray("windows");
        for (double window : result.serviceByWindow()) {
            windows.add(rounded(window, WINDOW_SCALE));
        }
        ArrayNode samples = node.putArray("samples");
        for (double[] sample : result.samples()) {
            ArrayNode row = samples.addArray();
            for (double value : sample) {
                row.add(rounded(value, SAMPLE_SCALE));
            }
        }
        return node;
    }

    private ObjectNode summary(Emulation.Result result) {
        return JSON.createObjectNode()
                .put("day", scenarioName)
                .put("setting", setting)
                .put("policy", policy.name())
                .put("seed", seed)
                .put("lasts", durationMillis)
                .put("service", result.service())
                .put("worst10s", result.worstTenSeconds())
                .put("txns", result.requests())
                .put("tries", result.attempts())
                .put("inForceP50", result.acknowledgementP50Millis())
                .put("inForceP99", result.acknowledgementP99Millis())
                .put("bugs", result.internalErrors())
                .put("hash", Long.toHexString(result.hash()))
                .put("tookMs", result.wallMillis())
                .put("simulated", true)
                .put("overlay", overlay == null ? "" : overlay);
    }

    private static double rounded(double value, double scale) {
        return Math.round(value * scale) / scale;
    }
}
