package sprucelanding.config.governor;

import java.util.List;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;

/**
 * A governor's configuration, as it is read from records at its start. {@code station.cue} has the
 * types, bounds and defaults of all fields; the components here are bound to it by name, so that
 * some keep older words: a product is a request class, a kind is an endpoint type, and the roster
 * is endpoint discovery. Times and spans are ms, rates are a second, and addresses are host:port.
 * Optional fields are null if they are not given.
 *
 * @param name the governor's name
 * @param seed seed of all random decisions
 * @param zones names of the fleet's zones
 * @param kinds names of the endpoint types
 * @param products request classes
 * @param admits how proxies are told what to admit: "share" or "rate"
 * @param xds the xDS front
 * @param netconf the NETCONF front; null for none
 * @param roster endpoint discovery
 * @param channel limits of updates to proxies
 * @param streams limits of proxies' streams
 * @param reports load reports
 * @param probes health checks
 * @param capture what is recorded; null for nothing
 * @param peers the governors that share the fleet
 */
public record GovernorConfig(
        String name,
        long seed,
        List<String> zones,
        List<String> kinds,
        List<RequestClassConfig> products,
        String admits,
        XdsConfig xds,
        NetconfConfig netconf,
        DiscoveryConfig roster,
        ChannelConfig channel,
        StreamsConfig streams,
        LoadReportConfig reports,
        HealthCheckConfig probes,
        CaptureConfig capture,
        PeersConfig peers) {
    /** The records' file must meet a definition of this schema. */
    public static final String SCHEMA = "station.cue";

    /** The definition that a governor's configuration must meet. */
    public static final String DEFINITION = "#Station";

    /**
     * A class of requests.
     *
     * @param name name of the class
     * @param retry "safe" if a request may run twice, "once" if never
     * @param sla time within which an answer counts
     * @param revenue what an answer in time is worth against other classes
     * @param kinds endpoint types that can serve it; none for all
     * @param zones zones that may serve it; none for all
     * @param homeOnly whether only endpoints of the proxy's own zone may serve it
     */
    public record RequestClassConfig(
            String name,
            String retry,
            double sla,
            double revenue,
            List<String> kinds,
            List<String> zones,
            boolean homeOnly) {}

    /**
     * The xDS front.
     *
     * @param at address that it listens on
     * @param largest most bytes of a message from a proxy
     */
    public record XdsConfig(String at, int largest) {}

    /**
     * The NETCONF front.
     *
     * @param at address that devices connect to (Call Home, RFC 8071)
     * @param key file of the own private key
     * @param devices file of the devices' pinned host keys
     * @param user user name at the devices
     * @param largest most bytes of a message from a device
     * @param answers time after which an operation counts as unanswered
     * @param confirms time after which a device takes back an unconfirmed commit
     * @param locks time after which a lock that another session holds is given up
     * @param atOnce devices that are edited at a time
     */
    public record NetconfConfig(
            String at,
            String key,
            String devices,
            String user,
            int largest,
            double answers,
            double confirms,
            double locks,
            int atOnce) {}

    /**
     * Endpoint discovery.
     *
     * @param at address of the discovery service
     * @param from own address to connect from; null for any
     * @param pushed whether the service pushes changes
     * @param softRemoval whether an endpoint that is missing from the list alone is still used
     * @param coldFrom share of its capacity that an endpoint starts with
     * @param warmAfter time from an endpoint's start to its full capacity
     * @param keep file for the last list; null for none
     */
    public record DiscoveryConfig(
            String at,
            String from,
            boolean pushed,
            boolean softRemoval,
            double coldFrom,
            double warmAfter,
            String keep) {}

    /**
     * Limits of updates to proxies.
     *
     * @param lines table entries a second
     * @param head overhead of a message, in entries
     * @param most entries that may wait to be sent
     * @param messages messages to one proxy within a span; 0 for no limit
     * @param span the span that messages are counted over
     * @param leftBehind time after which a proxy that does not answer counts as behind
     * @param patience time after which its stream is closed
     * @param grace time within which proxies must have stopped using a removed endpoint
     */
    public record ChannelConfig(
            double lines,
            double head,
            double most,
            int messages,
            double span,
            double leftBehind,
            double patience,
            double grace) {}

    /**
     * Limits of proxies' streams.
     *
     * @param atOnce streams that are given their first resources at a time
     * @param most streams in all
     * @param turn time that a stream waits for its first resources before it is rejected
     */
    public record StreamsConfig(int atOnce, int most, double turn) {}

    /**
     * Load reports.
     *
     * @param every time between two reports of a proxy
     * @param lines entries of reports that are taken in a second
     */
    public record LoadReportConfig(double every, double lines) {}

    /**
     * Health checks.
     *
     * @param allowed whether the governor may check endpoints itself
     * @param timeout time after which a check failed
     */
    public record HealthCheckConfig(boolean allowed, double timeout) {}

    /**
     * The capture of inputs and orders.
     *
     * @param file file of the capture; one of an earlier incarnation is kept beside it
     * @param most MiB past which the capture ends
     * @param waits blocks that may wait for the disk before some are dropped
     */
    public record CaptureConfig(String file, int most, int waits) {}

    /**
     * The governors that share the fleet; without others this one has it alone.
     *
     * @param number own number; all are numbered from 0
     * @param zone own zone; null for none
     * @param at address for datagrams of the others; null without others
     * @param others the other governors
     * @param key file of the keys that all share; null without others
     * @param keep file for the highest generation; null for none
     * @param lease time for which a majority allows a governor to write
     * @param room proxies that this governor has capacity for
     * @param hints whether statistics of the others' proxies are used all the time
     */
    public record PeersConfig(
            int number,
            String zone,
            String at,
            List<PeerConfig> others,
            String key,
            String keep,
            double lease,
            int room,
            boolean hints) {}

    /**
     * Another governor.
     *
     * @param number its number
     * @param at its address for datagrams
     */
    public record PeerConfig(int number, String at) {}

    /**
     * Reads a configuration with an overlay, whose fields take the place of its own.
     *
     * @param name name of the text, for messages
     * @param text the configuration
     * @param overlayName name of the overlay, for messages; null for none
     * @param overlay the overlay; null for none
     * @throws InvalidRecordsException with position and field, for what does not meet the schema
     */
    public static GovernorConfig parse(String name, String text, String overlayName, String overlay)
            throws InvalidRecordsException {
        return Records.parse(
                name, text, overlayName, overlay, SCHEMA, DEFINITION, GovernorConfig.class);
    }
}
