package sprucelanding.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import sprucelanding.simulation.experiment.ResultStore;

/** Prints the stored results of an experiment, one per line. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Lists stored results with the text of their settings.")
final class LabShowCommand implements Callable<Integer> {
    @Mixin private ExperimentOptions options;

    @Override
    public Integer call() throws Exception {
        try (ResultStore results = options.openResults()) {
            for (JsonNode result : results.allResults()) {
                print(result);
            }
        }
        return ExitCode.OK;
    }

    private static void print(JsonNode result) {
        String overlay = result.path("overlay").asText();
        System.out.printf(
                Locale.ROOT,
                "%s, %s (%s), seed %d: service %.4f, worst 10 s %.3f, broken %s%s%n",
                result.path("day").asText(),
                result.path("setting").asText(),
                result.path("policy").asText(),
                result.path("seed").asLong(),
                result.path("service").asDouble(),
                result.path("worst10s").asDouble(),
                result.path("broken"),
                overlay.isBlank() ? "" : ", with " + overlay.strip().replace('\n', ' '));
    }
}
