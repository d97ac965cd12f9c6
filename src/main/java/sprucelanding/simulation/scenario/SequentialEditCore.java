package sprucelanding.simulation.scenario;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.DeliveryActions;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.netconf.NetconfFront;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * A substitute for a governor's core, which sends each device its next edit as soon as the device
 * has acknowledged the previous edit. Each device has a separate table, so that a changed entry
 * causes exactly one edit. All state except the concurrent maps is changed only on the event loop
 * of the core.
 */
final class SequentialEditCore implements CoreHandle, ResourceNaming, DeliveryActions {
    /** The change that each edit makes. */
    enum EditKind {
        /** The edit changes the weight of an entry. */
        WEIGHT,
        /**
         * The edit removes an entry or adds a removed entry again, so that every second edit is
         * sent without a confirmed-commit trial.
         */
        REMOVAL
    }

    private static final int ENDPOINT_COUNT = 24;
    private static final int INITIAL_WEIGHT = 100;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    private final EditKind editKind;
    private final EventLoop loop = EventLoop.start("edit-rate");
    private final Delivery delivery = new Delivery(0, 10_000, 3000, 15_000, 4000);
    private final Map<String, Integer> proxyNumbers = new ConcurrentHashMap<>();
    private final Map<Long, Double> sentAtByMessage = new ConcurrentHashMap<>();
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private NetconfFront front;
    private boolean measuring;
    private long editCount;
    private long weightSequence;
    private int configuredDevices;

    SequentialEditCore(EditKind editKind) {
        this.editKind = editKind;
    }

    /** Sets the front through which edits are sent. Must be called before the front is started. */
    void attach(NetconfFront netconfFront) {
        front = netconfFront;
    }

    void startMeasuring() {
        loop.tryExecute(() -> measuring = true);
    }

    void stopMeasuring() {
        loop.tryExecute(() -> measuring = false);
    }

    /** Returns the number of edits that were acknowledged during the measurement. */
    long editCount() {
        return editCount;
    }

    /** Returns the times from the sending of an edit to its acknowledgement, in microseconds. */
    Histogram latencyMicros() {
        return latencyMicros;
    }

    /** Returns the number of devices that are connected and have a table. */
    int configuredDevices() {
        return configuredDevices;
    }

    void close() {
        loop.close();
    }

    private void flushDelivery() {
        delivery.batchEnded();
        boolean hasPending = true;
        while (hasPending) {
            hasPending = delivery.decide(this);
        }
    }

    private void sendNextEdit(ProxyStream stream) {
        long endpoint = 1 + (editCount + stream.proxyId) % ENDPOINT_COUNT;
        boolean isRemoval =
                editKind == EditKind.REMOVAL
                        && stream.hasAcknowledged(ResourceName.entry(stream.proxyId, endpoint));
        delivery.setEntry(stream.proxyId, endpoint, isRemoval ? 0 : nextWeight());
        flushDelivery();
    }

    private long nextWeight() {
        long weight = 1 + weightSequence % MAX_WEIGHT;
        weightSequence++;
        return weight;
    }

    @Override
    public boolean proxyConnected(
            Front from,
            ProxyStream stream,
            String zone,
            double expectedLoad,
            boolean withoutTables) {
        return loop.tryExecute(() -> configure(stream));
    }

    private void configure(ProxyStream stream) {
        delivery.setTime(EventLoop.nowMillis());
        delivery.streamAdmitted(stream);
        for (long endpoint = 1; endpoint <= ENDPOINT_COUNT; endpoint++) {
            delivery.setEntry(stream.proxyId, endpoint, INITIAL_WEIGHT);
        }
        delivery.bind(stream.proxyId, stream.proxyId, List.of(0));
        configuredDevices++;
        flushDelivery();
    }

    @Override
    public boolean proxyDisconnected(ProxyStream stream) {
        return loop.tryExecute(
                () -> {
                    delivery.proxyDisconnected(stream.proxyId);
                    configuredDevices--;
                });
    }

    @Override
    public boolean subscriptionChanged(
            ProxyStream stream, ResourceType kind, int table, boolean on) {
        return loop.tryExecute(() -> delivery.subscribed(stream, kind, table));
    }

    @Override
    public boolean heldResourcesReported(ProxyStream stream, Map<ResourceName, String> versions) {
        return allHeldResourcesReported(stream, versions);
    }

    @Override
    public boolean allHeldResourcesReported(
            ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(
                () -> {
                    delivery.fullStateRead(stream, versions);
                    flushDelivery();
                });
    }

    @Override
    public boolean updateResultReceived(ProxyStream stream, long message, String rejection) {
        return loop.tryExecute(() -> editAcknowledged(stream, message));
    }

    private void editAcknowledged(ProxyStream stream, long message) {
        delivery.setTime(EventLoop.nowMillis());
        delivery.updateAccepted(stream, message);
        Double sentAt = sentAtByMessage.remove(message);
        if (measuring) {
            editCount++;
            if (sentAt != null) {
                latencyMicros.recordValue((long) ((EventLoop.nowMillis() - sentAt) * 1000));
            }
        }
        sendNextEdit(stream);
    }

    @Override
    public boolean loadReported(LoadReport report) {
        return true;
    }

    @Override
    public int proxyId(String proxy) {
        return proxyNumbers.computeIfAbsent(proxy, name -> proxyNumbers.size());
    }

    @Override
    public void updateWritten(Front from, ResourceUpdate message, double at, long bytes) {
        // latencies are measured from send(), not from the write to the socket
    }

    @Override
    public List<String> requestClassNames() {
        return List.of("read");
    }

    @Override
    public ListedEndpoint endpoint(long id) {
        return new ListedEndpoint(id, "127.0.0.1", 9, 0, 0, 1, 0, ListedEndpoint.State.READY);
    }

    @Override
    public long endpointIdAt(String host, int port) {
        return 0;
    }

    @Override
    public boolean admitsByRate() {
        return false;
    }

    @Override
    public void send(ResourceUpdate message) {
        sentAtByMessage.put(message.id, EventLoop.nowMillis());
        front.send(message, this);
    }

    @Override
    public void closeStream(ProxyStream stream, String reason) {
        front.endStream(stream, false, reason);
    }

    @Override
    public void acknowledged(ProxyStream stream, int serial) {
        // edits are counted in updateResultReceived()
    }

    @Override
    public void log(String text, Object... figures) {
        // the benchmark prints only its figures
    }
}
