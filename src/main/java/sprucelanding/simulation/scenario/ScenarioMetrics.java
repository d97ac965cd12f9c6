package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.rules.Verdict;

/** The figures of a day, counted from its tape. */
public final class ScenarioMetrics {
    private static final double LATE_REVENUE_SHARE = 0.1;
    private static final double WINDOW_MILLIS = 10_000;
    private final ObjectMapper json = new ObjectMapper();
    private final Scenario scenario;
    private final long[][] outcomeCounts;
    private final double[] totalLatencyMillis;
    private final Map<Integer, double[]> revenueByWindow = new TreeMap<>();
    private final Map<String, long[]> countsByFront = new TreeMap<>();
    private final Map<Long, String> frontByMessage = new HashMap<>();
    private double startedAt = Double.NaN;
    private double earnedRevenue;
    private double requestedRevenue;
    private long attempts;
    private final ControlGaps gaps = new ControlGaps();

    public ScenarioMetrics(Scenario scenario) {
        this.scenario = scenario;
        this.outcomeCounts =
                new long[scenario.products().size()][TraceEvent.RequestOutcome.values().length];
        this.totalLatencyMillis = new double[scenario.products().size()];
    }

    /** Revenue that a txn brought: all of it in time, a tenth late. */
    public static double earnedRevenue(TraceEvent.RequestEnded ended, Scenario scenario) {
        double revenue = scenario.products().get(ended.requestClass()).revenue();
        return ended.outcome() == TraceEvent.RequestOutcome.IN_TIME
                ? revenue
                : ended.outcome() == TraceEvent.RequestOutcome.LATE
                        ? LATE_REVENUE_SHARE * revenue
                        : 0;
    }

    /** The next thing seen, in the order of time. */
    public void record(TraceEvent event) {
        startedAt = Double.isNaN(startedAt) ? event.at() : startedAt;
        gaps.record(event);
        if (event instanceof TraceEvent.RequestEnded ended) {
            outcomeCounts[ended.requestClass()][ended.outcome().ordinal()]++;
            totalLatencyMillis[ended.requestClass()] +=
                    ended.outcome().ordinal() <= 1 ? ended.latencyMillis() : 0;
            double revenue = scenario.products().get(ended.requestClass()).revenue();
            double revenueEarned = earnedRevenue(ended, scenario);
            requestedRevenue += revenue;
            earnedRevenue += revenueEarned;
            double[] window =
                    revenueByWindow.computeIfAbsent(
                            (int)
                                    ((ended.at() - ended.latencyMillis() - startedAt)
                                            / WINDOW_MILLIS),
                            key -> new double[2]);
            window[0] += revenueEarned;
            window[1] += revenue;
        } else if (event instanceof TraceEvent.AttemptSent) {
            attempts++;
        } else if (event instanceof TraceEvent.MessageSent message) {
            long[] counts = countsByFront.computeIfAbsent(message.front(), key -> new long[4]);
            counts[0]++;
            counts[1] += message.entries();
            frontByMessage.put((long) message.proxy() << 40 | message.nonce(), message.front());
        } else if (event instanceof TraceEvent.MessageAnswered answered) {
            String front =
                    frontByMessage.getOrDefault(
                            (long) answered.proxy() << 40 | answered.nonce(), "xds");
            countsByFront.computeIfAbsent(front, key -> new long[4])[answered.rejected() ? 3 : 2]++;
            frontByMessage.remove((long) answered.proxy() << 40 | answered.nonce());
        }
    }

    /**
     * Revenue answered within the SLA time over revenue asked for, a late answer counting for a
     * tenth.
     */
    public double service() {
        return requestedRevenue == 0 ? 0 : earnedRevenue / requestedRevenue;
    }

    /** Tries that reached replicas. */
    public long attempts() {
        return attempts;
    }

    /**
     * @param whose whose tables proxies went by
     */
    public ScenarioRunner.ScenarioResult outcome(
            String tableSource,
            double durationMillis,
            List<Verdict> verdicts,
            boolean overflowed,
            double cpuMillis,
            double memoryMiB,
            List<GovernorProcess> governors) {
        long bugs = governors.stream().mapToLong(governor -> governor.countLogged("BUG")).sum();
        int requestClasses = scenario.products().size();
        double worst =
                revenueByWindow.values().stream()
                        .filter(window -> window[1] > 0)
                        .mapToDouble(window -> window[0] / window[1])
                        .min()
                        .orElse(0);
        boolean kept = verdicts.stream().allMatch(Verdict::kept) && !overflowed && bugs == 0;
        StringBuilder text = new StringBuilder();
        ObjectNode root =
                json.createObjectNode()
                        .put("day", scenario.name())
                        .put("tables", tableSource)
                        .put("seconds", durationMillis / 1000)
                        .put("simulated", true);
        appendLine(
                text,
                "%s, %s tables, %.0f s (simulated fleet: %d replicas, %d proxies, %d governors)",
                scenario.name(),
                tableSource,
                durationMillis / 1000,
                scenario.replicas().count(),
                scenario.proxies().count(),
                scenario.governors().count());
        appendLine(
                text,
                "%-14s %9s %9s %9s %9s %9s %9s",
                "product",
                "txns",
                "in time",
                "late",
                "declined",
                "voided",
                "mean ms");
        ArrayNode rows = root.putArray("products");
        for (int requestClass = 0; requestClass < requestClasses; requestClass++) {
            long total = java.util.stream.LongStream.of(outcomeCounts[requestClass]).sum();
            long answered = outcomeCounts[requestClass][0] + outcomeCounts[requestClass][1];
            appendLine(
                    text,
                    "%-14s %9d %8.1f%% %8.1f%% %8.1f%% %8.1f%% %9.0f",
                    scenario.products().get(requestClass).name(),
                    total,
                    percent(outcomeCounts[requestClass][0], total),
                    percent(outcomeCounts[requestClass][1], total),
                    percent(outcomeCounts[requestClass][2], total),
                    percent(outcomeCounts[requestClass][3], total),
                    answered == 0 ? 0 : totalLatencyMillis[requestClass] / answered);
            rows.addObject()
                    .put("name", scenario.products().get(requestClass).name())
                    .put("txns", total)
                    .put("inTime", outcomeCounts[requestClass][0])
                    .put("late", outcomeCounts[requestClass][1])
                    .put("declined", outcomeCounts[requestClass][2])
                    .put("voided", outcomeCounts[requestClass][3]);
        }
        double service = service();
        appendLine(
                text,
                "service %.3f (revenue answered within the SLA time over revenue asked for), worst 10 s %.3f",
                service,
                worst);
        root.put("memoryMiB", memoryMiB)
                .put("service", service)
                .put("worst10s", worst)
                .put("governorCpuMs", cpuMillis);
        countsByFront.forEach(
                (front, counts) ->
                        appendLine(
                                text,
                                "%s: %d messages, %d lines, %d acknowledged, %d refused",
                                front,
                                counts[0],
                                counts[1],
                                counts[2],
                                counts[3]));
        ObjectNode frontNodes = root.putObject("fronts");
        countsByFront.forEach(
                (front, counts) ->
                        frontNodes
                                .putObject(front)
                                .put("messages", counts[0])
                                .put("lines", counts[1])
                                .put("acknowledged", counts[2])
                                .put("refused", counts[3]));
        ObjectNode gapNodes = root.putObject("withoutGovernor");
        gaps.summaries()
                .forEach(
                        (cause, governor) -> {
                            appendLine(
                                    text,
                                    "without a governor after %s: %.0f proxies, p50 %.0f ms, p99 %.0f, most %.0f",
                                    cause,
                                    governor[0],
                                    governor[1],
                                    governor[2],
                                    governor[3]);
                            gapNodes.putObject(cause)
                                    .put("proxies", (long) governor[0])
                                    .put("p50", governor[1])
                                    .put("p99", governor[2])
                                    .put("most", governor[3]);
                        });
        appendLine(
                text,
                "governors' CPU %.0f ms a second in all, the largest took %.0f MiB",
                cpuMillis / durationMillis * 1000,
                memoryMiB);
        ArrayNode governorNodes = root.putArray("governors");
        for (GovernorProcess governor :
                governors) { // its own word, for its speed only: no verdict rests on it
            for (Map<String, String> logged : governor.figures(json)) {
                appendLine(text, "governor %d: %s", governor.number, logged);
                ObjectNode node = governorNodes.addObject().put("governor", governor.number);
                logged.forEach(node::put);
            }
        }
        ArrayNode rules = root.putArray("rules");
        for (Verdict verdict : verdicts) {
            appendLine(
                    text,
                    "%-6s %s: %s",
                    verdict.kept() ? "kept" : "BROKEN",
                    verdict.rule(),
                    verdict.evidence());
            rules.addObject()
                    .put("rule", verdict.rule())
                    .put("broken", verdict.broken())
                    .put("evidence", verdict.evidence());
        }
        if (overflowed) {
            appendLine(text, "the tape overflowed: the verdicts tell of a part only");
        }
        if (bugs > 0) {
            appendLine(text, "%d decisions failed with an exception", bugs);
        }
        root.put("kept", kept);
        return new ScenarioRunner.ScenarioResult(text.toString(), kept, root);
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }

    private static void appendLine(StringBuilder target, String format, Object... args) {
        target.append(String.format(Locale.ROOT, format, args)).append('\n');
    }
}
