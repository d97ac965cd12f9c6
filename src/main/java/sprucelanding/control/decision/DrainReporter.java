package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Logs the progress of required removals, and each removal that is overdue. */
final class DrainReporter {
    /** Largest number of overdue removals per update that are logged one by one. */
    private static final int MAX_OVERDUE_LOGGED_PER_UPDATE = 3;

    private final EventTime time;
    private final DecisionLog log;
    private final ProxyRegistry proxies;
    private final ChannelBudget channel;
    private final DrainTracker drains;
    private final OutputScheduler scheduler;

    /** Whether acknowledgements name their proxy. Otherwise overdue removals are not known. */
    private boolean isEnabled;

    DrainReporter(
            EventTime time,
            DecisionLog log,
            ProxyRegistry proxies,
            ChannelBudget channel,
            DrainTracker drains,
            OutputScheduler scheduler) {
        this.time = time;
        this.log = log;
        this.proxies = proxies;
        this.channel = channel;
        this.drains = drains;
        this.scheduler = scheduler;
    }

    /** Enables the reports. The method is called once an acknowledgement has named its proxy. */
    void enable() {
        isEnabled = true;
    }

    /** Logs the progress of removals. The method is called once in each periodic update. */
    void report() {
        if (!isEnabled) {
            return;
        }
        String booked = channel.takeBookedEntriesByPurpose();
        reportOverdue();
        int unbound = drains.unboundProxies();
        int notOrdered = drains.removalsNotOrdered();
        int bindsSent = scheduler.takeBindsSent();
        if (unbound > 0 || notOrdered > 0) {
            log.add(
                    new DecisionEvent.DrainStatus(
                            proxies.size(),
                            unbound,
                            notOrdered,
                            drains.overdueRemovals(),
                            Math.round(channel.queue().entries()),
                            Math.round(1000 * channel.measuredRate()),
                            scheduler.starterTableUsers(),
                            scheduler.starterTableSize(),
                            booked,
                            bindsSent));
        }
    }

    private void reportOverdue() {
        List<DrainTracker.OverdueRemoval> overdue = new ArrayList<>();
        double latestAcknowledgedDeadline = time.now() - channel.maxTransitTime();
        drains.reportOverdue(latestAcknowledgedDeadline, overdue::add);
        overdue.stream().limit(MAX_OVERDUE_LOGGED_PER_UPDATE).forEach(this::report);
        if (!overdue.isEmpty()) {
            Map<DrainTracker.Cause, Long> byCause =
                    overdue.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            DrainTracker.OverdueRemoval::cause,
                                            TreeMap::new,
                                            Collectors.counting()));
            log.add(new DecisionEvent.DrainViolations(overdue.size(), byCause));
        }
    }

    private void report(DrainTracker.OverdueRemoval overdue) {
        log.add(
                new DecisionEvent.DrainOverdue(
                        overdue, Math.round(time.now() - overdue.deadline())));
    }
}
