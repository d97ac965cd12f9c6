package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.TreeMap;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A record of the times during which proxies had no governor that could reach them, by the fault
 * that affected their governor. A gap begins when the governor is killed, paused or cut off. After
 * a planned stop of the governor, a gap begins when the stream ends. A gap ends when the proxy
 * reads the next message or joins a governor.
 */
final class ControlGaps {
    /** Time after a fault during which messages sent before the fault may still be read. */
    private static final double IN_FLIGHT_MILLIS = 200;

    private static final double HIGH_PERCENTILE = 0.99;

    /**
     * The distribution of the gaps after one kind of fault. Times are in milliseconds.
     *
     * @param proxies number of gaps
     */
    record GapSummary(int proxies, double p50Millis, double p99Millis, double maxMillis) {
        static GapSummary of(List<Double> durations) {
            Collections.sort(durations);
            int count = durations.size();
            return new GapSummary(
                    count,
                    durations.get(count / 2),
                    durations.get(Math.min(count - 1, (int) (count * HIGH_PERCENTILE))),
                    durations.get(count - 1));
        }
    }

    /** The governor of a proxy, and the gap that the proxy is in. */
    private static final class ProxyGap {
        private OptionalInt governor = OptionalInt.empty();
        private Optional<String> cause = Optional.empty();
        private OptionalDouble since = OptionalDouble.empty();

        boolean isJoinedTo(int number) {
            return governor.isPresent() && governor.getAsInt() == number;
        }
    }

    private final Map<Integer, ProxyGap> gapsByProxy = new HashMap<>();
    private final Map<String, List<Double>> durationsByCause = new TreeMap<>();

    /** Processes the next event. Events must be passed in order of time. */
    void record(TraceEvent event) {
        if (event instanceof TraceEvent.FaultInjected fault) {
            faultInjected(fault);
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            proxyLeft(left);
        } else if (event instanceof TraceEvent.ProxyJoined joined) {
            ProxyGap gap = gapOf(joined.proxy());
            gap.governor = OptionalInt.of(joined.governor());
            endGap(gap, joined.at());
        } else if (event instanceof TraceEvent.MessageRead message) {
            messageSent(message);
        }
    }

    private ProxyGap gapOf(int number) {
        return gapsByProxy.computeIfAbsent(number, key -> new ProxyGap());
    }

    private void faultInjected(TraceEvent.FaultInjected fault) {
        if (fault.fault().equals(GovernorFault.PEERS_CUT.word())) {
            return; // the proxies can still reach the governor
        }
        boolean isPlanned = fault.fault().equals(GovernorFault.STOP.word());
        for (ProxyGap gap : gapsByProxy.values()) {
            if (gap.isJoinedTo(fault.governor()) && gap.cause.isEmpty()) {
                gap.cause = Optional.of(fault.fault());
                gap.since = isPlanned ? OptionalDouble.empty() : OptionalDouble.of(fault.at());
            }
        }
    }

    private void proxyLeft(TraceEvent.ProxyLeft left) {
        ProxyGap gap = gapOf(left.proxy());
        gap.governor = OptionalInt.empty();
        if (gap.cause.isPresent() && gap.since.isEmpty()) {
            gap.since = OptionalDouble.of(left.at());
        }
    }

    private void messageSent(TraceEvent.MessageRead message) {
        ProxyGap gap = gapOf(message.proxy());
        if (gap.isJoinedTo(message.governor())
                && gap.since.isPresent()
                && message.at() > gap.since.getAsDouble() + IN_FLIGHT_MILLIS) {
            endGap(gap, message.at());
        }
    }

    private void endGap(ProxyGap gap, double at) {
        if (gap.cause.isPresent() && gap.since.isPresent()) {
            durationsByCause
                    .computeIfAbsent(gap.cause.get(), key -> new ArrayList<>())
                    .add(at - gap.since.getAsDouble());
            gap.cause = Optional.empty();
            gap.since = OptionalDouble.empty();
        }
    }

    /** Returns the gaps by the name of the fault that caused them, in alphabetical order. */
    Map<String, GapSummary> summaries() {
        Map<String, GapSummary> summaries = new TreeMap<>();
        durationsByCause.forEach(
                (cause, durations) -> summaries.put(cause, GapSummary.of(durations)));
        return summaries;
    }
}
