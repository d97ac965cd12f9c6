package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A comparison of the settings of an experiment with the first setting. Trials of the same scenario
 * and seed form a pair.
 */
final class SettingComparison {
    /** The results of one setting. */
    private static final class SettingResults {
        private final List<Double> services = new ArrayList<>();
        private final List<Double> worstServices = new ArrayList<>();

        /** Differences from the service of the first setting with the same scenario and seed. */
        private final List<Double> differences = new ArrayList<>();

        private int brokenRules;

        double meanService() {
            return services.stream().mapToDouble(value -> value).average().orElse(0);
        }

        double worstService() {
            return worstServices.stream().mapToDouble(value -> value).min().orElse(0);
        }
    }

    /**
     * The scenario and the seed with which two settings are compared.
     *
     * @param scenarioName name of the scenario
     */
    private record Pair(String scenarioName, long seed) {}

    private final String firstSetting;
    private final Map<String, SettingResults> resultsBySetting = new LinkedHashMap<>();
    private final Map<Pair, Double> firstServices = new HashMap<>();

    private SettingComparison(String firstSetting) {
        this.firstSetting = firstSetting;
    }

    /**
     * Compares the trials that have results.
     *
     * @param trials trials; for each scenario and seed, the first setting comes first
     */
    static SettingComparison of(String firstSetting, List<Trial> trials, ResultStore results)
            throws IOException {
        SettingComparison comparison = new SettingComparison(firstSetting);
        for (Trial trial : trials) {
            if (results.has(trial.key())) {
                comparison.add(trial, results.get(trial.key()));
            }
        }
        return comparison;
    }

    private void add(Trial trial, JsonNode result) {
        double service = result.path("service").asDouble();
        SettingResults results =
                resultsBySetting.computeIfAbsent(trial.setting(), key -> new SettingResults());
        results.services.add(service);
        results.worstServices.add(result.path("worst10s").asDouble());
        results.brokenRules += result.path("broken").size();
        Pair pair = new Pair(trial.scenarioName(), trial.seed());
        if (trial.setting().equals(firstSetting)) {
            firstServices.put(pair, service);
        } else if (firstServices.containsKey(pair)) {
            results.differences.add(service - firstServices.get(pair));
        }
    }

    /** Returns a Markdown table with a row for each setting. */
    String toMarkdown() {
        StringBuilder text =
                new StringBuilder("| setting | days | service | worst 10 s | against ")
                        .append(firstSetting)
                        .append(" | rules broken |\n|---|---|---|---|---|---|\n");
        resultsBySetting.forEach(
                (setting, results) ->
                        text.append(
                                String.format(
                                        Locale.ROOT,
                                        "| %s | %d | %.4f | %.3f | %s | %d |%n",
                                        setting,
                                        results.services.size(),
                                        results.meanService(),
                                        results.worstService(),
                                        describe(PairedDifference.of(results.differences)),
                                        results.brokenRules)));
        return text.toString();
    }

    private static String describe(PairedDifference difference) {
        if (difference.pairs() == 0) {
            return "";
        }
        if (Double.isInfinite(difference.confidenceHalfWidth())) {
            return String.format(Locale.ROOT, "%+.4f", difference.mean());
        }
        return String.format(
                Locale.ROOT,
                "%+.4f +- %.4f%s",
                difference.mean(),
                difference.confidenceHalfWidth(),
                difference.isSignificant() ? "" : " (may be chance)");
    }
}
