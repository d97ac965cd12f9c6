package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;

/** A writer of trial results as CSV. */
final class TrialTable {
    private static final String HEADER =
            "day,setting,policy,seed,service,worst10s,txns,tries,inForceP50,inForceP99,broken\n";

    private TrialTable() {}

    /** Returns a header line and a line for each trial that has a result. */
    static String csv(List<Trial> trials, ResultStore results) throws IOException {
        StringBuilder text = new StringBuilder(HEADER);
        for (Trial trial : trials) {
            if (results.has(trial.key())) {
                text.append(line(trial, results.get(trial.key())));
            }
        }
        return text.toString();
    }

    private static String line(Trial trial, JsonNode result) {
        return String.format(
                Locale.ROOT,
                "%s,%s,%s,%d,%.5f,%.5f,%d,%d,%.2f,%.2f,%d%n",
                trial.scenarioName(),
                trial.setting(),
                trial.policy(),
                trial.seed(),
                result.path("service").asDouble(),
                result.path("worst10s").asDouble(),
                result.path("txns").asLong(),
                result.path("tries").asLong(),
                result.path("inForceP50").asDouble(),
                result.path("inForceP99").asDouble(),
                result.path("broken").size());
    }
}
