package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import sprucelanding.config.records.InvalidRecordsException;

/** An execution of trials on several threads that stores each result when its trial ends. */
final class TrialExecution {
    private final ResultStore results;
    private final Consumer<String> progress;
    private final AtomicInteger completed = new AtomicInteger();

    /**
     * Creates an execution.
     *
     * @param progress receives a line for each trial, on the thread that ran the trial
     */
    TrialExecution(ResultStore results, Consumer<String> progress) {
        this.results = results;
        this.progress = progress;
    }

    /**
     * Runs the trials that have no result yet.
     *
     * @return number of trials that were run
     * @throws IOException if a trial fails
     */
    int run(List<Trial> trials, int threads) throws IOException, InterruptedException {
        List<Trial> pending = trials.stream().filter(trial -> !results.has(trial.key())).toList();
        progress.accept(
                pending.size()
                        + " trials to run, "
                        + (trials.size() - pending.size())
                        + " already have results");
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (Trial trial : pending) {
                futures.add(pool.submit(() -> run(trial, pending.size())));
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

    private Void run(Trial trial, int pending) throws InvalidRecordsException {
        ObjectNode result = trial.run();
        results.put(trial.key(), result);
        boolean keptRules = result.path("broken").isEmpty();
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "%d of %d: %s, %s, seed %d: %.3f%s",
                        completed.incrementAndGet(),
                        pending,
                        trial.scenarioName(),
                        trial.setting(),
                        trial.seed(),
                        result.path("service").asDouble(),
                        keptRules ? "" : " BROKEN " + result.path("broken")));
        return null;
    }
}
