package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.scenario.Scenario;

/** Runs an experiment, compares its settings and looks for their worst days. */
public final class ExperimentRunner {
    private static final double BROKEN_RULE_LOSS = 10; // a loss that a broken rule counts for

    private final Experiment experiment;
    private final Map<String, String> scenarioTexts = new LinkedHashMap<>();
    private final Map<String, Scenario> scenarios = new LinkedHashMap<>();
    private final Map<String, String> overlays = new LinkedHashMap<>();

    private ExperimentRunner(Experiment experiment) {
        this.experiment = experiment;
    }

    /**
     * Reads an experiment and all files that it names, beside it; throws Invalid or IOException,
     * which name the file.
     */
    public static ExperimentRunner read(Path file) throws InvalidRecordsException, IOException {
        Experiment experiment =
                Records.read(file, Experiment.SCHEMA, Experiment.DEFINITION, Experiment.class);
        experiment.check();
        Path folder = file.toAbsolutePath().getParent();
        ExperimentRunner runner = new ExperimentRunner(experiment);
        for (String scenarioName : experiment.days()) {
            Path scenarioFile = folder.resolve(scenarioName);
            runner.scenarioTexts.put(scenarioName, Files.readString(scenarioFile));
            Scenario scenario = Scenario.read(scenarioFile);
            scenario.check();
            runner.scenarios.put(scenarioName, scenario);
        }
        for (Experiment.Setting setting : experiment.settings()) {
            if (setting.with() != null) {
                runner.overlays.put(
                        setting.name(), Files.readString(folder.resolve(setting.with())));
                Emulation.governorConfigs(
                        runner.scenarios.values().iterator().next(),
                        setting.with(),
                        runner.overlays.get(setting.name()));
            }
        }
        return runner;
    }

    public Experiment experiment() {
        return experiment;
    }

    private Trial trial(String scenarioName, Experiment.Setting setting, long seed) {
        Scenario scenario = scenarios.get(scenarioName);
        return new Trial(
                scenarioName,
                scenarioTexts.get(scenarioName),
                scenario,
                setting.name(),
                setting.with(),
                overlays.get(setting.name()),
                setting.routingPolicy(),
                seed,
                durationMillis(scenario));
    }

    private double durationMillis(Scenario scenario) {
        return experiment.seconds() > 0
                ? Math.min(experiment.seconds(), scenario.lasts())
                : scenario.lasts();
    }

    private List<Trial> trials() {
        List<Trial> trials = new ArrayList<>();
        List<Long> seeds = experiment.seeds().isEmpty() ? List.of(1L) : experiment.seeds();
        for (String scenarioName : experiment.days()) {
            for (long seed : seeds) {
                experiment
                        .settings()
                        .forEach(setting -> trials.add(trial(scenarioName, setting, seed)));
            }
        }
        return trials;
    }

    /**
     * Runs what the store does not hold yet. Stopped at any time, it goes on from there when it is
     * run again.
     *
     * @return trials that were run
     */
    public int run(ResultStore results, int cores, Consumer<String> progress)
            throws IOException, InterruptedException {
        List<Trial> trials = trials();
        List<Trial> pending = trials.stream().filter(trial -> !results.has(trial.key())).toList();
        progress.accept(
                pending.size()
                        + " trials to run, "
                        + (trials.size() - pending.size())
                        + " are there");
        AtomicInteger completed = new AtomicInteger();
        ExecutorService pool = Executors.newFixedThreadPool(cores);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (Trial trial : pending) {
                futures.add(
                        pool.submit(
                                () -> {
                                    ObjectNode result = trial.run();
                                    results.put(trial.key(), result);
                                    progress.accept(
                                            String.format(
                                                    Locale.ROOT,
                                                    "%d of %d: %s, %s, seed %d: %.3f%s",
                                                    completed.incrementAndGet(),
                                                    pending.size(),
                                                    trial.scenarioName(),
                                                    trial.setting(),
                                                    trial.seed(),
                                                    result.path("service").asDouble(),
                                                    result.path("broken").isEmpty()
                                                            ? ""
                                                            : " BROKEN " + result.path("broken")));
                                    return null;
                                }));
            }
            for (Future<?> future : futures) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a trial failed: " + e.getCause().getMessage(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return pending.size();
    }

    /**
     * A table in Markdown: each setting's service, and its paired difference to the first one's.
     */
    public String compare(ResultStore results) throws IOException {
        Map<String, List<Double>> service = new LinkedHashMap<>();
        Map<String, List<Double>> worst = new LinkedHashMap<>();
        Map<String, List<Double>> difference = new LinkedHashMap<>();
        Map<String, Integer> broken = new LinkedHashMap<>();
        Map<String, Double> first = new LinkedHashMap<>();
        for (Trial trial : trials()) {
            if (!results.has(trial.key())) {
                continue;
            }
            JsonNode result = results.get(trial.key());
            double trialService = result.path("service").asDouble();
            String pair = trial.scenarioName() + " " + trial.seed();
            service.computeIfAbsent(trial.setting(), value -> new ArrayList<>()).add(trialService);
            worst.computeIfAbsent(trial.setting(), value -> new ArrayList<>())
                    .add(result.path("worst10s").asDouble());
            broken.merge(trial.setting(), result.path("broken").size(), Integer::sum);
            if (trial.setting().equals(experiment.settings().get(0).name())) {
                first.put(pair, trialService);
            } else if (first.containsKey(pair)) {
                difference
                        .computeIfAbsent(trial.setting(), value -> new ArrayList<>())
                        .add(trialService - first.get(pair));
            }
        }
        StringBuilder text =
                new StringBuilder("| setting | days | service | worst 10 s | against ")
                        .append(experiment.settings().get(0).name())
                        .append(" | rules broken |\n|---|---|---|---|---|---|\n");
        service.forEach(
                (name, values) -> {
                    PairedDifference paired =
                            PairedDifference.of(difference.getOrDefault(name, List.of()));
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "| %s | %d | %.4f | %.3f | %s | %d |%n",
                                    name,
                                    values.size(),
                                    mean(values),
                                    worst.get(name).stream()
                                            .mapToDouble(value -> value)
                                            .min()
                                            .orElse(0),
                                    paired.pairs() == 0
                                            ? ""
                                            : Double.isInfinite(paired.confidenceHalfWidth())
                                                    ? String.format(
                                                            Locale.ROOT, "%+.4f", paired.mean())
                                                    : String.format(
                                                            Locale.ROOT,
                                                            "%+.4f +- %.4f%s",
                                                            paired.mean(),
                                                            paired.confidenceHalfWidth(),
                                                            paired.isSignificant()
                                                                    ? ""
                                                                    : " (may be chance)"),
                                    broken.get(name)));
                });
        return text.toString();
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElse(0);
    }

    /** All trials as CSV. */
    public String csv(ResultStore results) throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "day,setting,policy,seed,service,worst10s,txns,tries,inForceP50,inForceP99,broken\n");
        for (Trial trial : trials()) {
            if (results.has(trial.key())) {
                JsonNode result = results.get(trial.key());
                text.append(
                        String.format(
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
                                result.path("broken").size()));
            }
        }
        return text.toString();
    }

    /**
     * Charts of each day: all settings at the first seed, and second by second what the first
     * setting made of it.
     */
    public void charts(ResultStore results, Path folder) throws IOException {
        Files.createDirectories(folder);
        List<Trial> trials = trials();
        for (String scenarioName : experiment.days()) {
            List<JsonNode> values = new ArrayList<>();
            for (Trial trial : trials) {
                if (trial.scenarioName().equals(scenarioName)
                        && trial.seed() == trials.get(0).seed()
                        && results.has(trial.key())) {
                    values.add(results.get(trial.key()));
                }
            }
            if (values.isEmpty()) {
                continue;
            }
            String name = Path.of(scenarioName).getFileName().toString().replaceAll("\\.cue$", "");
            Scenario scenario = scenarios.get(scenarioName);
            int zones = scenario.zones().size();
            Charts.service(folder, name, values);
            Charts.samples(
                    folder,
                    name + "-load",
                    "load by zone",
                    "share of busy cores",
                    values.get(0),
                    scenario.zones(),
                    1);
            Charts.samples(
                    folder,
                    name + "-levels",
                    "levels",
                    "share let in",
                    values.get(0),
                    scenario.products().stream().map(Scenario.RequestClassSettings::name).toList(),
                    1 + zones);
            Charts.samples(
                    folder,
                    name + "-orders",
                    "orders' latency",
                    "ms, the longest of a second",
                    values.get(0),
                    List.of("in force"),
                    1 + zones + scenario.products().size());
        }
    }

    /**
     * Searches for the troubles on which one setting loses most against another, on the first day's
     * fleet, and cuts them down.
     *
     * @return the script of that day, as far as it differs, with what was lost
     */
    public String search(int cores, Consumer<String> progress)
            throws InvalidRecordsException, InterruptedException, IOException {
        Experiment.Search search = experiment.search();
        if (search == null) {
            throw new IllegalArgumentException("the experiment has no field search");
        }
        String scenarioName = experiment.days().get(0);
        Scenario scenario = scenarios.get(scenarioName);
        double durationMillis = durationMillis(scenario);
        FaultSearch faultSearch =
                new FaultSearch(search, scenario.zones(), durationMillis, scenario.seed());
        List<List<Scenario.Fault>> candidates = new ArrayList<>();
        for (int i = 0; i < search.tries(); i++) {
            candidates.add(faultSearch.randomFaults());
        }
        List<Scenario.Fault> worst = null;
        double greatestLoss = Double.NEGATIVE_INFINITY;
        ExecutorService pool = Executors.newFixedThreadPool(cores);
        try {
            List<Future<Double>> losses = new ArrayList<>();
            for (List<Scenario.Fault> candidate : candidates) {
                losses.add(pool.submit(() -> loss(scenario, candidate, durationMillis)));
            }
            for (int i = 0; i < losses.size(); i++) {
                double loss = losses.get(i).get();
                if (loss > greatestLoss) {
                    greatestLoss = loss;
                    worst = candidates.get(i);
                    progress.accept(
                            String.format(
                                    Locale.ROOT,
                                    "day %d of %d loses %.4f",
                                    i + 1,
                                    losses.size(),
                                    loss));
                }
            }
        } catch (ExecutionException e) {
            throw new IOException("a day failed: " + e.getCause().getMessage(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
        List<Scenario.Fault> reduced =
                greatestLoss <= 0
                        ? worst
                        : FaultSearch.reduce(
                                worst,
                                greatestLoss,
                                candidate -> {
                                    try {
                                        return loss(scenario, candidate, durationMillis);
                                    } catch (InvalidRecordsException e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "// %s against %s on %s: loses %.4f (simulated; %d days "
                                        + "drawn, %d troubles cut to %d)%ntroubles: [%n",
                                search.setting(),
                                search.against(),
                                scenarioName,
                                loss(scenario, reduced, durationMillis),
                                search.tries(),
                                worst.size(),
                                reduced.size()));
        reduced.forEach(
                reducedFaults ->
                        text.append(
                                String.format(
                                        Locale.ROOT,
                                        "\t{at: %.0fms, what: \"%s\", part: %.1f%%, size: %.3f, "
                                                + "lasts: %.0fms%s},%n",
                                        reducedFaults.at(),
                                        reducedFaults.what(),
                                        100 * reducedFaults.part(),
                                        reducedFaults.size(),
                                        reducedFaults.lasts(),
                                        reducedFaults.zone() == null
                                                ? ""
                                                : ", zone: \"" + reducedFaults.zone() + "\"")));
        return text.append("]\n").toString();
    }

    /**
     * What the setting gives away on such a day; a rule that only it breaks counts for far more.
     */
    private double loss(Scenario scenario, List<Scenario.Fault> faults, double durationMillis)
            throws InvalidRecordsException {
        Emulation.Result[] both = new Emulation.Result[2];
        String[] names = {experiment.search().setting(), experiment.search().against()};
        for (int i = 0; i < 2; i++) {
            Experiment.Setting setting = experiment.setting(names[i]);
            Scenario withFaults = scenario.withFaults(faults);
            both[i] =
                    Emulation.play(
                            withFaults,
                            durationMillis,
                            Emulation.governorConfigs(
                                    withFaults, setting.with(), overlays.get(setting.name())),
                            setting.routingPolicy(),
                            Emulation.EmulationListener.NONE);
        }
        boolean breaksRule =
                !both[0].outcome().kept()
                        && both[1].outcome().kept()
                        && experiment.setting(names[0]).routingPolicy() == RoutingPolicy.GOVERNORS;
        return both[1].service() - both[0].service() + (breaksRule ? BROKEN_RULE_LOSS : 0);
    }
}
