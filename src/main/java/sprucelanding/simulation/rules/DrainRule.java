package sprucelanding.simulation.rules;

import sprucelanding.simulation.rules.ObservedFleet.ListedEndpoint;
import sprucelanding.simulation.rules.ObservedFleet.ProxyConnection;

/**
 * The rule that a proxy stops sending attempts to a removed endpoint within the grace time. The
 * grace time starts when the proxy could learn of the removal from its governor.
 */
final class DrainRule implements Rule {
    private final RuleLimits limits;
    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("drains kept");

    DrainRule(RuleLimits limits, ObservedFleet fleet) {
        this.limits = limits;
        this.fleet = fleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.AttemptSent sent && !limits.softRemoval()) {
            fleet.listedEndpoint(sent.proxy(), sent.endpointId())
                    .filter(listed -> !listed.ready())
                    .ifPresent(listed -> checkSent(sent, listed));
        }
    }

    private void checkSent(TraceEvent.AttemptSent sent, ListedEndpoint listed) {
        ProxyConnection connection = fleet.connection(sent.proxy());
        double sinceInformedMillis =
                connection.isReading()
                        ? sent.at()
                                - connection.informedAt(listed.since())
                                - ObservedFleet.RECORDING_DELAY_MILLIS
                        : 0;
        counter.recordShare(
                sinceInformedMillis / limits.graceMillis(),
                "at %.3f s proxy %d sent to %d, %.2f s after governor %d was told",
                fleet.seconds(sent.at()),
                sent.proxy(),
                sent.endpointId(),
                (sent.at() - listed.since()) / 1000,
                connection.governor().getAsInt());
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
