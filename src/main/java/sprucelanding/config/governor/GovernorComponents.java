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
 * Factory of the parts of a governor that need no sockets. The service, the replay of a capture and
 * the emulator all create these parts here.
 */
public final class GovernorComponents {
    private static final String SAFE_TO_RETRY = "safe";
    private static final String RATE_ADMISSION = "rate";
    private static final double MILLIS_PER_SECOND = 1000;

    /** A batch of orders is sent as at most two responses: the table entries and the route. */
    private static final int RESPONSES_PER_BATCH = 2;

    /** The largest difference between the clock rates of two governors, as a fraction. */
    private static final double MAX_CLOCK_DRIFT = 0.02;

    private static final double HEARTBEATS_PER_LEASE = 15;

    /** A peer that stays silent is suspected after one timeout and declared dead after another. */
    private static final double SUSPICION_TIMEOUTS_PER_LEASE = 3;

    /** How long a starting governor waits for evidence from its peers, in load report intervals. */
    private static final double CATCH_UP_REPORT_INTERVALS = 1.5;

    /** The zone index that {@link ProxyQuota} expects for a governor without a zone. */
    private static final int NO_ZONE = -1;

    private GovernorComponents() {}

    /**
     * Creates a controller.
     *
     * @throws IllegalArgumentException if a value breaks a rule that the schema cannot express; the
     *     message names the field
     */
    public static RoutingController createController(GovernorConfig config) {
        RoutingController controller =
                GovernorCore.newController(
                        config.seed(),
                        requestClasses(config),
                        config.zones().size(),
                        config.admits().equals(RATE_ADMISSION)
                                ? AdmissionMode.RATE
                                : AdmissionMode.SHARE);
        GovernorConfig.DiscoveryConfig discovery = config.roster();
        controller.configureEndpointList(
                discovery.pushed(),
                discovery.softRemoval(),
                discovery.coldFrom(),
                discovery.warmAfter());
        GovernorConfig.ChannelConfig channel = config.channel();
        controller.configureChannel(
                channel.lines() / MILLIS_PER_SECOND,
                channel.head(),
                channel.most(),
                batchesPerSpan(channel),
                channel.span());
        controller.configureReports(config.probes().allowed(), config.reports().every());
        return controller;
    }

    private static RequestClass[] requestClasses(GovernorConfig config) {
        RequestClass[] requestClasses = new RequestClass[config.products().size()];
        for (int index = 0; index < requestClasses.length; index++) {
            GovernorConfig.RequestClassConfig requestClass = config.products().get(index);
            String field = "products[" + index + "]";
            requestClasses[index] =
                    new RequestClass(
                            index,
                            requestClass.retry().equals(SAFE_TO_RETRY),
                            requestClass.revenue(),
                            requestClass.sla(),
                            indexesOf(requestClass.kinds(), config.kinds(), field + ".kinds"),
                            indexesOf(requestClass.zones(), config.zones(), field + ".zones"),
                            requestClass.homeOnly());
        }
        return requestClasses;
    }

    /** Returns how many batches of orders one proxy may receive within a span; 0 for no limit. */
    private static int batchesPerSpan(GovernorConfig.ChannelConfig channel) {
        return channel.messages() == 0 ? 0 : Math.max(1, channel.messages() / RESPONSES_PER_BATCH);
    }

    /**
     * Creates a core around a controller.
     *
     * @param config the configuration
     * @param host performs the actions that the core decides on
     * @param controller the controller, as {@link #createController} creates it
     * @param input passes the core's calls to the controller
     * @param listener is notified of what the core receives and sends
     * @param wallOffsetMillis wall clock time minus the host's time, in ms
     */
    public static GovernorCore createCore(
            GovernorConfig config,
            GovernorCore.Host host,
            RoutingController controller,
            ControllerInput input,
            InputListener listener,
            double wallOffsetMillis) {
        GovernorConfig.StreamsConfig streams = config.streams();
        GovernorConfig.LoadReportConfig reports = config.reports();
        return new GovernorCore(
                host,
                controller,
                input,
                listener,
                config.zones(),
                config.kinds(),
                config.probes().allowed(),
                wallOffsetMillis,
                delivery(config.channel()),
                new StreamAdmission(streams.atOnce(), streams.most(), streams.turn()),
                new LoadReportAggregator(
                        config.products().size(), reports.every(), reports.lines()));
    }

    private static Delivery delivery(GovernorConfig.ChannelConfig channel) {
        Delivery delivery =
                new Delivery(
                        channel.messages(),
                        channel.span(),
                        channel.leftBehind(),
                        channel.patience(),
                        channel.grace());
        delivery.setChannelLimits(
                channel.lines() / MILLIS_PER_SECOND, channel.head(), channel.most());
        return delivery;
    }

    /**
     * Creates the membership of a governor in a fleet that several governors share.
     *
     * @param config the configuration
     * @param generation ms since 1970 at the governor's start, and greater than the generation of
     *     every earlier start
     * @param now the host's time in ms
     * @return null if no other governor shares the fleet
     * @throws IllegalArgumentException if the governors are not numbered from 0 without gaps, or
     *     the zone is unknown; the message names the field
     */
    public static FleetMember createFleetMember(
            GovernorConfig config, long generation, double now) {
        GovernorConfig.PeersConfig peers = config.peers();
        if (peers.others().isEmpty()) {
            return null;
        }
        Set<Integer> numbers = governorNumbers(peers);
        int zone = zoneOf(peers, config.zones());
        Leases leases =
                new Leases(
                        peers.number(),
                        generation,
                        numbers.size(),
                        peers.lease(),
                        MAX_CLOCK_DRIFT,
                        peers.lease() * (1 + MAX_CLOCK_DRIFT),
                        now);
        FailureDetector failureDetector =
                new FailureDetector(
                        peers.number(),
                        generation,
                        numbers,
                        peers.lease() / HEARTBEATS_PER_LEASE,
                        peers.lease() / SUSPICION_TIMEOUTS_PER_LEASE,
                        peers.lease() / SUSPICION_TIMEOUTS_PER_LEASE);
        EvidenceExchange evidenceExchange =
                new EvidenceExchange(
                        peers.number(),
                        generation,
                        config.reports().every(),
                        CATCH_UP_REPORT_INTERVALS * config.reports().every(),
                        peers.hints(),
                        now);
        return new FleetMember(
                failureDetector,
                leases,
                new ProxyQuota(peers.number(), leases, peers.room(), zone, now),
                evidenceExchange);
    }

    /** Returns the numbers of all governors; rejects numbers that are repeated or left out. */
    private static Set<Integer> governorNumbers(GovernorConfig.PeersConfig peers) {
        int governorCount = peers.others().size() + 1;
        Set<Integer> numbers = new TreeSet<>(Set.of(peers.number()));
        peers.others().forEach(peer -> numbers.add(peer.number()));
        for (int number = 0; number < governorCount; number++) {
            if (!numbers.contains(number)) {
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
        return numbers;
    }

    private static int zoneOf(GovernorConfig.PeersConfig peers, List<String> zones) {
        return peers.zone() == null
                ? NO_ZONE
                : indexesOf(List.of(peers.zone()), zones, "peers.zone").nextSetBit(0);
    }

    private static BitSet indexesOf(List<String> names, List<String> knownNames, String field) {
        BitSet indexes = new BitSet();
        for (String name : names) {
            if (!knownNames.contains(name)) {
                throw new IllegalArgumentException(
                        field + ": \"" + name + "\" is not one of " + knownNames);
            }
            indexes.set(knownNames.indexOf(name));
        }
        return indexes;
    }
}
