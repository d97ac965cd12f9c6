package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * How long proxies were without a governor that could tell them anything, by what befell theirs:
 * from when it was killed, paused or cut off (from the end of their stream, where it stopped as
 * planned) until they read a first message again.
 */
final class ControlGaps {
    private static final double IN_FLIGHT_MILLIS =
            200; // ms in which messages from before may still be read

    private static final class ProxyGap {
        int governor = -1;
        String cause;
        double since = Double.NaN;
    }

    private final Map<Integer, ProxyGap> proxies = new HashMap<>();
    private final Map<String, List<Double>> gapsByCause = new TreeMap<>();

    private ProxyGap proxy(int id) {
        return proxies.computeIfAbsent(id, key -> new ProxyGap());
    }

    void record(TraceEvent event) {
        if (event instanceof TraceEvent.FaultInjected struck) {
            for (ProxyGap gap : proxies.values()) {
                if (gap.governor == struck.governor()
                        && gap.cause == null
                        && !struck.fault().equals("alone")) {
                    gap.cause = struck.fault();
                    gap.since = struck.fault().equals("stop") ? Double.NaN : struck.at();
                }
            }
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            ProxyGap gap = proxy(left.proxy());
            gap.governor = -1;
            gap.since = gap.cause != null && Double.isNaN(gap.since) ? left.at() : gap.since;
        } else if (event instanceof TraceEvent.ProxyJoined joined) {
            ProxyGap gap = proxy(joined.proxy());
            gap.governor = joined.governor();
            endGap(gap, joined.at());
        } else if (event instanceof TraceEvent.MessageSent message) {
            ProxyGap gap = proxy(message.proxy());
            if (gap.governor == message.governor() && message.at() > gap.since + IN_FLIGHT_MILLIS) {
                endGap(gap, message.at());
            }
        }
    }

    private void endGap(ProxyGap gap, double at) {
        if (gap.cause != null && !Double.isNaN(gap.since)) {
            gapsByCause.computeIfAbsent(gap.cause, key -> new ArrayList<>()).add(at - gap.since);
            gap.cause = null;
            gap.since = Double.NaN;
        }
    }

    /** By what befell the governor: how many proxies, and p50, p99 and the most, ms. */
    Map<String, double[]> summaries() {
        Map<String, double[]> summaries = new TreeMap<>();
        gapsByCause.forEach(
                (cause, durations) -> {
                    Collections.sort(durations);
                    int count = durations.size();
                    summaries.put(
                            cause,
                            new double[] {
                                count,
                                durations.get(count / 2),
                                durations.get(Math.min(count - 1, (int) (count * 0.99))),
                                durations.get(count - 1)
                            });
                });
        return summaries;
    }
}
