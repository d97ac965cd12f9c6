package sprucelanding.simulation.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * The rule that only one governor at a time sends messages to a proxy, if governors share the
 * fleet. The epochs of the messages that a proxy reads never decrease. All messages of one epoch
 * come from one governor. After the first message with an epoch, no message without one is read.
 */
final class SingleGovernorRule implements Rule {
    private static final char EPOCH_SEPARATOR = '#';

    /** The highest epoch that a proxy has read, and the governor that used the epoch. */
    private static final class LastWriter {
        private long epoch;
        private String governorEpoch = "";
    }

    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("one voice for each proxy");
    private final Map<Integer, LastWriter> writersByProxy = new HashMap<>();
    private boolean hasSeenEpoch;

    SingleGovernorRule(ObservedFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns whether the rule applies, because a message with an epoch was read. */
    boolean isApplicable() {
        return hasSeenEpoch;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.MessageRead message) {
            long epoch = epoch(message.governorEpoch());
            hasSeenEpoch |= epoch > 0;
            if (hasSeenEpoch) {
                check(message, epoch);
            }
        }
    }

    private static long epoch(String governorEpoch) {
        int separatorIndex = governorEpoch.lastIndexOf(EPOCH_SEPARATOR);
        return separatorIndex < 0 ? 0 : Long.parseLong(governorEpoch.substring(separatorIndex + 1));
    }

    private void check(TraceEvent.MessageRead message, long epoch) {
        LastWriter last = writersByProxy.computeIfAbsent(message.proxy(), key -> new LastWriter());
        boolean hasLowerEpoch = epoch < last.epoch;
        boolean hasSecondWriter =
                epoch == last.epoch
                        && !message.governorEpoch().equals(last.governorEpoch)
                        && !last.governorEpoch.isEmpty();
        if (hasLowerEpoch || hasSecondWriter) {
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
