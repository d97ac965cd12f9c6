package sprucelanding.config.governor;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.core.InputListener;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.StreamAdmission;
import sprucelanding.control.loadreport.LoadReportAggregator;
import sprucelanding.control.membership.EvidenceExchange;
import sprucelanding.control.membership.FailureDetector;
import sprucelanding.control.membership.FleetMember;
import sprucelanding.control.membership.Leases;
import sprucelanding.control.membership.ProxyQuota;

/**
 * A governor's parts as a station sets them up: the same for the service, a capture and the
 * emulator.
 */
public final class GovernorComponents {
    /** A moment's orders become two responses at most on an ordinary path: lines, and the route. */
    private static final int RESPONSES_PER_BATCH = 2;

    private GovernorComponents() {}

    /**
     * Throws IllegalArgumentException, which names the field, for what the records' types cannot
     * say.
     */
    public static RoutingController controller(GovernorConfig config) {
        RequestClass[] requestClasses = new RequestClass[config.products().size()];
        for (int index = 0; index < requestClasses.length; index++) {
            GovernorConfig.RequestClassConfig classConfig = config.products().get(index);
            requestClasses[index] =
                    new RequestClass(
                            index,
                            classConfig.retry().equals("safe"),
                            classConfig.revenue(),
                            classConfig.sla(),
                            indexesOf(
                                    classConfig.kinds(),
                                    config.kinds(),
                                    "products[" + index + "].kinds"),
                            indexesOf(
                                    classConfig.zones(),
                                    config.zones(),
                                    "products[" + index + "].zones"),
                            classConfig.homeOnly());
        }
        RoutingController controller =
                GovernorCore.newController(
                        config.seed(),
                        requestClasses,
                        config.zones().size(),
                        config.admits().equals("rate") ? AdmissionMode.RATE : AdmissionMode.SHARE);
        GovernorConfig.ChannelConfig channel = config.channel();
        controller.configureEndpointList(
                config.roster().pushed(),
                config.roster().softRemoval(),
                config.roster().coldFrom(),
                config.roster().warmAfter());
        controller.configureChannel(
                channel.lines() / 1000,
                channel.head(),
                channel.most(),
                channel.messages() == 0 ? 0 : Math.max(1, channel.messages() / RESPONSES_PER_BATCH),
                channel.span());
        controller.configureReports(config.probes().allowed(), config.reports().every());
        return controller;
    }

    /**
     * @param wallOffset what a wall clock's ms have to lose to be the host's
     */
    public static GovernorCore core(
            GovernorConfig config,
            GovernorCore.Host host,
            RoutingController controller,
            ControllerInput input,
            InputListener listener,
            double wallOffsetMillis) {
        GovernorConfig.ChannelConfig channel = config.channel();
        Delivery delivery =
                new Delivery(
                        channel.messages(),
                        channel.span(),
                        channel.leftBehind(),
                        channel.patience(),
                        channel.grace());
        delivery.setChannelLimits(channel.lines() / 1000, channel.head(), channel.most());
        return new GovernorCore(
                host,
                controller,
                input,
                listener,
                config.zones(),
                config.kinds(),
                config.probes().allowed(),
                wallOffsetMillis,
                delivery,
                new StreamAdmission(
                        config.streams().atOnce(),
                        config.streams().most(),
                        config.streams().turn()),
                new LoadReportAggregator(
                        config.products().size(),
                        config.reports().every(),
                        config.reports().lines()));
    }

    /**
     * Its part in a shared fleet; null if it is alone.
     *
     * @param life ms since 1970 at its start, and above any epoch that it heard of before
     * @param now ms on the host's clock
     */
    public static FleetMember fleetMember(GovernorConfig config, long generation, double now) {
        GovernorConfig.PeersConfig peers = config.peers();
        if (peers.others().isEmpty()) {
            return null;
        }
        int governorCount = peers.others().size() + 1;
        Set<Integer> numbers = new TreeSet<>(Set.of(peers.number()));
        peers.others().forEach(peer -> numbers.add(peer.number()));
        for (int i = 0; i < governorCount; i++) {
            if (!numbers.contains(i)) {
                throw new IllegalArgumentException(
                        "peers: "
                                + governorCount
                                + " governors with the numbers "
                                + numbers
                                + "; expected each from 0 to "
                                + (governorCount - 1)
                                + " once");
            }
        }
        int zone =
                peers.zone() == null
                        ? -1
                        : indexesOf(List.of(peers.zone()), config.zones(), "peers.zone")
                                .nextSetBit(0);
        Leases leases =
                new Leases(
                        peers.number(),
                        generation,
                        governorCount,
                        peers.lease(),
                        MAX_CLOCK_DRIFT,
                        peers.lease() * (1 + MAX_CLOCK_DRIFT),
                        now);
        return new FleetMember(
                new FailureDetector(
                        peers.number(),
                        generation,
                        numbers,
                        peers.lease() / HEARTBEATS_PER_LEASE,
                        peers.lease() / SUSPICION_TIMEOUTS_PER_LEASE,
                        peers.lease() / SUSPICION_TIMEOUTS_PER_LEASE),
                leases,
                new ProxyQuota(peers.number(), leases, peers.room(), zone, now),
                new EvidenceExchange(
                        peers.number(),
                        generation,
                        config.reports().every(),
                        1.5 * config.reports().every(),
                        peers.hints(),
                        now));
    }

    private static final double MAX_CLOCK_DRIFT = 0.02; // of two clocks' paces, at the most
    private static final double HEARTBEATS_PER_LEASE = 15; // within a lease
    private static final double SUSPICION_TIMEOUTS_PER_LEASE =
            3; // within a lease, until one is suspected, and dead

    static BitSet indexesOf(List<String> names, List<String> knownNames, String field) {
        BitSet indexes = new BitSet();
        for (String name : names) {
            if (!knownNames.contains(name)) {
                throw new IllegalArgumentException(
                        field + ": \"" + name + "\" is none of " + knownNames);
            }
            indexes.set(knownNames.indexOf(name));
        }
        return indexes;
    }
}
