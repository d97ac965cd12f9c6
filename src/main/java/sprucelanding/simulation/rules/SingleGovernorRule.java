package sprucelanding.simulation.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * Where governors share a fleet, a proxy is written to by one of them at a time: epochs never go
 * back at a proxy, an epoch has one writer, and after the first epoch nothing comes without.
 */
final class SingleGovernorRule implements Rule {
    private static final char EPOCH_MARK = '#';

    /** The highest epoch that a proxy has read, and its writer. */
    private static final class LastWriter {
        private long epoch;
        private String governorEpoch = "";
    }

    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("one voice for each proxy");
    private final Map<Integer, LastWriter> writersByProxy = new HashMap<>();
    private boolean sharedFleet;

    SingleGovernorRule(ObservedFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns whether a message with an epoch was seen, so that the rule applies. */
    boolean isApplicable() {
        return sharedFleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.MessageSent message) {
            long epoch = epoch(message.governorEpoch());
            sharedFleet |= epoch > 0;
            if (sharedFleet) {
                check(message, epoch);
            }
        }
    }

    private static long epoch(String governorEpoch) {
        int mark = governorEpoch.lastIndexOf(EPOCH_MARK);
        return mark < 0 ? 0 : Long.parseLong(governorEpoch.substring(mark + 1));
    }

    private void check(TraceEvent.MessageSent message, long epoch) {
        LastWriter last = writersByProxy.computeIfAbsent(message.proxy(), key -> new LastWriter());
        boolean epochWentBack = epoch < last.epoch;
        boolean sameEpochTwoWriters =
                epoch == last.epoch
                        && !message.governorEpoch().equals(last.governorEpoch)
                        && !last.governorEpoch.isEmpty();
        if (epochWentBack || sameEpochTwoWriters) {
            counter.recordViolation(
                    "at %.3f s proxy %d read a message of %s after one of %s",
                    fleet.seconds(message.at()),
                    message.proxy(),
                    message.governorEpoch().isEmpty() ? "no epoch" : message.governorEpoch(),
                    last.governorEpoch);
        }
        if (epoch >= last.epoch) {
            last.epoch = epoch;
            last.governorEpoch = message.governorEpoch();
        }
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
