package sprucelanding.simulation.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A runner of one soak plan. The runner starts real governor processes and a simulated fleet,
 * injects the faults and checks the rules. Everything except the processes runs on one thread named
 * {@code soak}. Times are in milliseconds.
 */
public final class SoakRunner {
    /**
     * The report of a soak.
     *
     * @param seed seed of the plan
     * @param violations number of violations of each rule, as the fleet observed them
     * @param examples descriptions of the first violations of each rule
     * @param joins number of connections that proxies opened to governors
     * @param messages number of complete messages that proxies received
     * @param overdue number of removals that the governors counted as not acknowledged by their
     *     deadline, including removals whose acknowledgement was lost
     */
    public record Report(
            long seed,
            Map<String, Integer> violations,
            List<String> examples,
            long joins,
            long messages,
            long overdue) {
        /** Returns whether no rule was violated. */
        public boolean kept() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed "
                    + seed
                    + ": "
                    + (kept() ? "no violation" : "violations " + violations)
                    + ", "
                    + joins
                    + " joins, "
                    + messages
                    + " messages, "
                    + overdue
                    + " removals counted as late"
                    + String.join("", examples.stream().map(example -> "\n  " + example).toList());
        }
    }

    private static final String THREAD_NAME = "soak";
    private static final double CHECK_INTERVAL_MS = 50;
    private static final double READY_CHECK_INTERVAL_MS = 40;

    /** Time allowed for the first answers of all governors. */
    private static final double START_TIMEOUT_MS = 30_000;

    /** Time from the first answers of all governors to the start of the plan. */
    private static final double CONNECT_TIME_MS = 1000;

    private final SoakPlan plan;
    private final EventLoop loop = new EventLoop(THREAD_NAME);
    private final InvariantChecker checker;
    private final SoakFleet fleet;
    private final CompletableFuture<Report> report = new CompletableFuture<>();

    private SoakRunner(SoakPlan plan, Path folder) throws IOException {
        this.plan = plan;
        checker = new InvariantChecker(plan);
        SplittableRandom random = new SplittableRandom(plan.seed());
        fleet = new SoakFleet(plan, folder, loop, random, checker);
    }

    /**
     * Runs a plan.
     *
     * @param folder folder for configurations and logs
     * @throws IOException if the fleet cannot be set up, or the soak fails or does not end in time
     */
    public static Report run(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        SoakRunner runner = new SoakRunner(plan, folder);
        try {
            Thread thread = new Thread(runner.loop, THREAD_NAME);
            thread.setDaemon(true);
            runner.start();
            thread.start();
            long limitMillis = (long) (START_TIMEOUT_MS + 2 * plan.duration());
            return runner.report.get(limitMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the soak of seed " + plan.seed() + " did not end: " + e, e);
        } finally {
            for (SoakGovernor governor : runner.fleet.governors()) {
                governor.stop();
            }
            runner.loop.close();
        }
    }

    private void start() {
        fleet.startGovernors();
        awaitReady();
    }

    private void awaitReady() {
        if (fleet.allGovernorsAnswered()) {
            fleet.connectProxies();
            loop.schedule(CONNECT_TIME_MS, this::injectAndCheck);
        } else {
            loop.schedule(READY_CHECK_INTERVAL_MS, this::awaitReady);
        }
    }

    private void injectAndCheck() {
        new SoakFaultInjector(loop, fleet).schedule(plan.faults());
        loop.scheduleWithFixedDelay(CHECK_INTERVAL_MS, fleet::check);
        loop.schedule(plan.duration(), this::finish);
    }

    private void finish() {
        fleet.checkAtEnd();
        long overdue = 0;
        for (SoakGovernor governor : fleet.governors()) {
            governor.process()
                    .firstFaultLogged()
                    .ifPresent(line -> checker.recordInternalFault(governor.number(), line));
            overdue += governor.process().maxOverdueLogged();
        }
        Map<String, Integer> violations = new TreeMap<>();
        checker.violations().forEach((rule, count) -> violations.put(rule.name(), count));
        report.complete(
                new Report(
                        plan.seed(),
                        violations,
                        List.copyOf(checker.examples()),
                        fleet.joins(),
                        fleet.messages(),
                        overdue));
    }
}
