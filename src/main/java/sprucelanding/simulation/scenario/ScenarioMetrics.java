package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.rules.TraceEvent.RequestOutcome;
import sprucelanding.simulation.rules.Verdict;

/**
 * The figures of a scenario, which are calculated from the events of its trace. Not thread-safe.
 * Times are in milliseconds.
 */
public final class ScenarioMetrics {
    private static final double LATE_REVENUE_SHARE = 0.1;
    private static final double WINDOW_MILLIS = 10_000;
    private static final int PROXY_SHIFT_BITS = 40;
    private static final String DEFAULT_FRONT = "xds";

    /** The revenue of the requests that arrived within one time window. */
    private static final class RevenueWindow {
        private double earned;
        private double requested;
    }

    /** The figures of the requests of one request class. */
    static final class RequestClassMetrics {
        private final OutcomeCounts outcomes = new OutcomeCounts();
        private double totalLatencyMillis;

        private void add(TraceEvent.RequestEnded ended) {
            outcomes.add(ended.outcome());
            if (OutcomeCounts.isAnswered(ended.outcome())) {
                totalLatencyMillis += ended.latencyMillis();
            }
        }

        OutcomeCounts outcomes() {
            return outcomes;
        }

        /** Returns the mean latency of answered requests; 0 if there were none. */
        double meanLatencyMillis() {
            long answered = outcomes.answered();
            return answered == 0 ? 0 : totalLatencyMillis / answered;
        }
    }

    private final Scenario scenario;
    private final List<RequestClassMetrics> requestClasses = new ArrayList<>();
    private final Map<Integer, RevenueWindow> revenueByWindow = new TreeMap<>();
    private final Map<String, FrontCounts> countsByFront = new TreeMap<>();
    private final Map<Long, String> frontByMessage = new HashMap<>();
    private final ControlGaps gaps = new ControlGaps();
    private OptionalDouble startedAt = OptionalDouble.empty();
    private double earnedRevenue;
    private double requestedRevenue;
    private long attempts;

    /** Creates metrics that have not processed any event yet. */
    public ScenarioMetrics(Scenario scenario) {
        this.scenario = scenario;
        scenario.products().forEach(requestClass -> requestClasses.add(new RequestClassMetrics()));
    }

    /**
     * Returns the revenue that a request earned: the revenue of its class if the answer was in
     * time, a tenth of this revenue if the answer was late, or else 0.
     */
    public static double earnedRevenue(TraceEvent.RequestEnded ended, Scenario scenario) {
        double revenue = scenario.products().get(ended.requestClass()).revenue();
        if (ended.outcome() == RequestOutcome.IN_TIME) {
            return revenue;
        }
        return ended.outcome() == RequestOutcome.LATE ? LATE_REVENUE_SHARE * revenue : 0;
    }

    /** Processes the next event. Events must be passed in order of time. */
    public void record(TraceEvent event) {
        if (startedAt.isEmpty()) {
            startedAt = OptionalDouble.of(event.at());
        }
        gaps.record(event);
        if (event instanceof TraceEvent.RequestEnded ended) {
            requestEnded(ended);
        } else if (event instanceof TraceEvent.AttemptSent) {
            attempts++;
        } else if (event instanceof TraceEvent.MessageRead message) {
            frontCounts(message.front()).countMessage(message.entries());
            frontByMessage.put(messageKey(message.proxy(), message.nonce()), message.front());
        } else if (event instanceof TraceEvent.MessageAnswered answered) {
            long key = messageKey(answered.proxy(), answered.nonce());
            frontCounts(frontByMessage.getOrDefault(key, DEFAULT_FRONT))
                    .countAnswer(answered.rejected());
            frontByMessage.remove(key);
        }
    }

    private void requestEnded(TraceEvent.RequestEnded ended) {
        requestClasses.get(ended.requestClass()).add(ended);
        double revenue = scenario.products().get(ended.requestClass()).revenue();
        double earned = earnedRevenue(ended, scenario);
        requestedRevenue += revenue;
        earnedRevenue += earned;
        double arrivedAt = ended.at() - ended.latencyMillis();
        int windowNumber = (int) ((arrivedAt - startedAt.getAsDouble()) / WINDOW_MILLIS);
        RevenueWindow window =
                revenueByWindow.computeIfAbsent(windowNumber, key -> new RevenueWindow());
        window.earned += earned;
        window.requested += revenue;
    }

    private FrontCounts frontCounts(String front) {
        return countsByFront.computeIfAbsent(front, key -> new FrontCounts());
    }

    private static long messageKey(int proxy, long nonce) {
        return (long) proxy << PROXY_SHIFT_BITS | nonce;
    }

    /**
     * Returns the earned revenue divided by the revenue of all requests, from 0 to 1. A late answer
     * earns a tenth of the revenue.
     */
    public double service() {
        return requestedRevenue == 0 ? 0 : earnedRevenue / requestedRevenue;
    }

    /** Returns the number of attempts that reached endpoints. */
    public long attempts() {
        return attempts;
    }

    /** Returns the lowest service of a window of 10 s. */
    double worstService() {
        return revenueByWindow.values().stream()
                .filter(window -> window.requested > 0)
                .mapToDouble(window -> window.earned / window.requested)
                .min()
                .orElse(0);
    }

    /** Returns the figures by request class, in the order of the scenario. */
    List<RequestClassMetrics> requestClasses() {
        return Collections.unmodifiableList(requestClasses);
    }

    /** Returns the message counts by protocol, in alphabetical order. */
    Map<String, FrontCounts> countsByFront() {
        return Collections.unmodifiableMap(countsByFront);
    }

    /** Returns the times during which proxies had no governor, by the fault that caused them. */
    Map<String, ControlGaps.GapSummary> gapsByCause() {
        return gaps.summaries();
    }

    /**
     * Creates the report of a scenario that has ended.
     *
     * @param tableSource name of the source of the proxies' tables
     * @param hasOverflowed whether the trace dropped events because it was full
     * @param cpuMillis processor time of all governors
     * @param memoryMiB peak memory of the governor that used the most
     * @param governors the processes of the governors; empty if governors are emulated
     */
    public ScenarioRunner.ScenarioResult createResult(
            String tableSource,
            double durationMillis,
            List<Verdict> verdicts,
            boolean hasOverflowed,
            double cpuMillis,
            double memoryMiB,
            List<GovernorProcess> governors) {
        ScenarioReport report = new ScenarioReport(scenario, tableSource, durationMillis);
        report.addRequests(this);
        report.addService(this, cpuMillis, memoryMiB);
        report.addMessages(this);
        report.addGaps(this);
        report.addGovernors(governors, cpuMillis, memoryMiB);
        return report.finish(verdicts, hasOverflowed, governors);
    }
}
