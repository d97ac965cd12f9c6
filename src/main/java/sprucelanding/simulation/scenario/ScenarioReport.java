package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sprucelanding.simulation.rules.TraceEvent.RequestOutcome;
import sprucelanding.simulation.rules.Verdict;

/**
 * A builder of the report of a scenario, as text for people and as JSON for programs. The report
 * contains its sections in the order of the calls.
 */
final class ScenarioReport {
    /** Text in the log lines of governors about decisions that threw an exception. */
    private static final String INTERNAL_ERROR_TEXT = "BUG";

    private final ObjectMapper json = new ObjectMapper();
    private final ObjectNode root = json.createObjectNode();
    private final StringBuilder text = new StringBuilder();
    private final Scenario scenario;
    private final double durationMillis;

    ScenarioReport(Scenario scenario, String tableSource, double durationMillis) {
        this.scenario = scenario;
        this.durationMillis = durationMillis;
        root.put("day", scenario.name())
                .put("tables", tableSource)
                .put("seconds", durationMillis / 1000)
                .put("simulated", true);
        appendLine(
                "%s, %s tables, %.0f s (simulated fleet: %d replicas, %d proxies, %d governors)",
                scenario.name(),
                tableSource,
                durationMillis / 1000,
                scenario.replicas().count(),
                scenario.proxies().count(),
                scenario.governors().count());
    }

    /** Adds the outcomes of requests by request class. */
    void addRequests(ScenarioMetrics metrics) {
        appendLine(
                "%-14s %9s %9s %9s %9s %9s %9s",
                "product", "txns", "in time", "late", "declined", "voided", "mean ms");
        ArrayNode rows = root.putArray("products");
        for (int i = 0; i < scenario.products().size(); i++) {
            addRequestClass(
                    scenario.products().get(i).name(), metrics.requestClasses().get(i), rows);
        }
    }

    private void addRequestClass(
            String name, ScenarioMetrics.RequestClassMetrics requestClass, ArrayNode rows) {
        OutcomeCounts outcomes = requestClass.outcomes();
        long total = outcomes.total();
        appendLine(
                "%-14s %9d %8.1f%% %8.1f%% %8.1f%% %8.1f%% %9.0f",
                name,
                total,
                percent(outcomes.count(RequestOutcome.IN_TIME), total),
                percent(outcomes.count(RequestOutcome.LATE), total),
                percent(outcomes.count(RequestOutcome.DECLINED), total),
                percent(outcomes.count(RequestOutcome.VOIDED), total),
                requestClass.meanLatencyMillis());
        rows.addObject()
                .put("name", name)
                .put("txns", total)
                .put("inTime", outcomes.count(RequestOutcome.IN_TIME))
                .put("late", outcomes.count(RequestOutcome.LATE))
                .put("declined", outcomes.count(RequestOutcome.DECLINED))
                .put("voided", outcomes.count(RequestOutcome.VOIDED));
    }

    /** Adds the service, and the processor time and memory of governors. */
    void addService(ScenarioMetrics metrics, double cpuMillis, double memoryMiB) {
        double service = metrics.service();
        double worst = metrics.worstService();
        appendLine(
                "service %.3f (revenue answered within the SLA time over revenue asked for), worst 10 s %.3f",
                service, worst);
        root.put("memoryMiB", memoryMiB)
                .put("service", service)
                .put("worst10s", worst)
                .put("governorCpuMs", cpuMillis);
    }

    /** Adds the messages between governors and proxies by protocol. */
    void addMessages(ScenarioMetrics metrics) {
        ObjectNode fronts = root.putObject("fronts");
        metrics.countsByFront()
                .forEach(
                        (front, counts) -> {
                            appendLine(
                                    "%s: %d messages, %d lines, %d acknowledged, %d refused",
                                    front,
                                    counts.messages(),
                                    counts.entries(),
                                    counts.acknowledged(),
                                    counts.rejected());
                            fronts.putObject(front)
                                    .put("messages", counts.messages())
                                    .put("lines", counts.entries())
                                    .put("acknowledged", counts.acknowledged())
                                    .put("refused", counts.rejected());
                        });
    }

    /** Adds the times during which proxies had no governor, by cause. */
    void addGaps(ScenarioMetrics metrics) {
        ObjectNode gaps = root.putObject("withoutGovernor");
        metrics.gapsByCause()
                .forEach(
                        (cause, summary) -> {
                            appendLine(
                                    "without a governor after %s: %d proxies, p50 %.0f ms, p99 %.0f, most %.0f",
                                    cause,
                                    summary.proxies(),
                                    summary.p50Millis(),
                                    summary.p99Millis(),
                                    summary.maxMillis());
                            gaps.putObject(cause)
                                    .put("proxies", (long) summary.proxies())
                                    .put("p50", summary.p50Millis())
                                    .put("p99", summary.p99Millis())
                                    .put("most", summary.maxMillis());
                        });
    }

    /** Adds the figures that governors logged about their speed. No verdict depends on them. */
    void addGovernors(List<GovernorProcess> governors, double cpuMillis, double memoryMiB) {
        appendLine(
                "governors' CPU %.0f ms a second in all, the largest took %.0f MiB",
                cpuMillis / durationMillis * 1000, memoryMiB);
        ArrayNode nodes = root.putArray("governors");
        for (GovernorProcess governor : governors) {
            for (Map<String, String> logged : governor.figures(json)) {
                appendLine("governor %d: %s", governor.number(), logged);
                ObjectNode node = nodes.addObject().put("governor", governor.number());
                logged.forEach(node::put);
            }
        }
    }

    /** Adds the verdicts on the rules, and returns the finished report. */
    ScenarioRunner.ScenarioResult finish(
            List<Verdict> verdicts, boolean hasOverflowed, List<GovernorProcess> governors) {
        long internalErrors =
                governors.stream()
                        .mapToLong(governor -> governor.countLogged(INTERNAL_ERROR_TEXT))
                        .sum();
        boolean allKept =
                verdicts.stream().allMatch(Verdict::kept) && !hasOverflowed && internalErrors == 0;
        addVerdicts(verdicts);
        if (hasOverflowed) {
            appendLine("the event trace overflowed: the verdicts cover only a part of the events");
        }
        if (internalErrors > 0) {
            appendLine("%d decisions failed with an exception", internalErrors);
        }
        root.put("kept", allKept);
        return new ScenarioRunner.ScenarioResult(text.toString(), allKept, root);
    }

    private void addVerdicts(List<Verdict> verdicts) {
        ArrayNode rules = root.putArray("rules");
        for (Verdict verdict : verdicts) {
            appendLine(
                    "%-6s %s: %s",
                    verdict.kept() ? "kept" : "BROKEN", verdict.rule(), verdict.evidence());
            rules.addObject()
                    .put("rule", verdict.rule())
                    .put("broken", verdict.broken())
                    .put("evidence", verdict.evidence());
        }
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }

    private void appendLine(String format, Object... args) {
        text.append(String.format(Locale.ROOT, format, args)).append('\n');
    }
}
