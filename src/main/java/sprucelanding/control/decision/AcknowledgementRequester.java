package sprucelanding.control.decision;

/** Ends each batch of updates with the request for its acknowledgements. */
final class AcknowledgementRequester {
    private final EventTime time;
    private final ProxyRegistry proxies;
    private final ChannelBudget channel;

    AcknowledgementRequester(EventTime time, ProxyRegistry proxies, ChannelBudget channel) {
        this.time = time;
        this.proxies = proxies;
        this.channel = channel;
    }

    /**
     * Requests the acknowledgements that show how much the channel has delivered.
     *
     * @return false if there is no open batch
     */
    boolean requestNext(ControllerOutput output) {
        if (!channel.queue().hasOpenBatch()) {
            return false;
        }
        double messageCount =
                SequentialSum.of(proxies.all(), proxy -> proxy.hasMessageAt(time.now()) ? 1 : 0);
        output.requestAcknowledgement(channel.queue().closeBatch(messageCount));
        return true;
    }
}
