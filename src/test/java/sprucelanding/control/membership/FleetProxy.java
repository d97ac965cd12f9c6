package sprucelanding.control.membership;

/**
 * A plain proxy of a {@link FleetSimulation}: it keeps one stream, and reads what comes on that.
 */
final class FleetProxy {
    /** A proxy's stream to one generation of a governor. */
    static final class Stream {
        private final FleetProxy proxy;
        private final FleetSimulation.Node node;
        private final long generation;

        Stream(FleetProxy proxy, FleetSimulation.Node node) {
            this.proxy = proxy;
            this.node = node;
            this.generation = node.generation;
        }

        FleetProxy proxy() {
            return proxy;
        }

        FleetSimulation.Node node() {
            return node;
        }

        long generation() {
            return generation;
        }
    }

    private final FleetSimulation fleet;
    private final long key;
    private final int number;
    private Stream stream;
    private int nextGovernor;
    private double silentSince;
    private double unownedSince;
    private long epoch;
    private double longestGapMillis;

    FleetProxy(FleetSimulation fleet, int number) {
        this.fleet = fleet;
        this.number = number;
        this.key = Leases.proxyKey("proxy-" + number);
        this.nextGovernor = number;
    }

    long key() {
        return key;
    }

    int number() {
        return number;
    }

    /** Its present stream; null while it has none. */
    Stream stream() {
        return stream;
    }

    /** The longest time without a write since this was asked last, ms. */
    double takeLongestGapMillis() {
        double millis = longestGapMillis;
        longestGapMillis = 0;
        return millis;
    }

    void connect() {
        FleetSimulation.Node target = fleet.nodes.get(nextGovernor % fleet.nodes.size());
        if (!target.up || fleet.isCutFromProxies(target.id)) {
            reconnect();
            return;
        }
        Stream newStream = new Stream(this, target);
        stream = newStream;
        silentSince = fleet.now;
        fleet.schedule(
                2,
                () ->
                        target.deliver(
                                newStream.generation,
                                () -> {
                                    target.streams.put(key, newStream);
                                    target.member.onProxyConnected(key, 0);
                                }));
    }

    /** It leaves the stream, if it has one, and dials the next governor a little later. */
    void reconnect() {
        Stream oldStream = stream;
        stream = null;
        nextGovernor++;
        if (oldStream != null
                && !fleet.isCutFromProxies(
                        oldStream.node.id)) { // across a cut the governor does not hear of it
            fleet.schedule(
                    2,
                    () ->
                            oldStream.node.deliver(
                                    oldStream.generation,
                                    () -> oldStream.node.streamEnded(oldStream)));
        }
        fleet.schedule(
                50 + fleet.random.nextDouble() * 200,
                () -> {
                    if (stream == null) {
                        connect();
                    }
                });
    }

    void onWrite(Stream source, long writeEpoch) {
        if (source != stream || fleet.isCutFromProxies(source.node.id)) {
            return; // of a stream that it has left
        }
        silentSince = fleet.now;
        if (unownedSince > 0) {
            longestGapMillis = Math.max(longestGapMillis, fleet.now - unownedSince);
        }
        unownedSince = fleet.now;
        Integer previousWriter = fleet.recordWriter(key, writeEpoch, source.node.id);
        if (writeEpoch < epoch || previousWriter != null && previousWriter != source.node.id) {
            fleet.violations.add(
                    "at "
                            + fleet.now
                            + " proxy "
                            + number
                            + " heard "
                            + source.node.id
                            + " under "
                            + writeEpoch
                            + " after "
                            + epoch
                            + " of "
                            + previousWriter);
        }
        epoch = writeEpoch;
    }

    void checkKeepalive() {
        if (stream != null && fleet.now - silentSince > fleet.keepaliveMillis) {
            reconnect();
        }
    }
}
