package sprucelanding.config.governor;

import java.util.List;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;

/**
 * A governor's configuration, which the governor reads from records when it starts. The schema
 * {@code station.cue} defines the types, bounds and defaults of all fields. The record components
 * here are bound to the fields by name and therefore keep older terms: a product is a request
 * class, a kind is a machine kind, and the roster is endpoint discovery. Times and spans are in ms,
 * rates are per second, and addresses have the form host:port. Optional fields that are not given
 * are null.
 *
 * @param name the governor's name
 * @param seed seed of all random decisions
 * @param zones names of the fleet's zones
 * @param kinds names of the machine kinds
 * @param products request classes
 * @param admits unit of the admission levels that proxies receive: "share" or "rate"
 * @param xds the xDS front
 * @param netconf the NETCONF front; null for none
 * @param roster endpoint discovery
 * @param channel limits of the updates to proxies
 * @param streams limits of the proxies' streams
 * @param reports load reports
 * @param probes health checks
 * @param capture the capture of inputs and orders; null for none
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
    /** The schema file with the definition of a governor's configuration. */
    public static final String SCHEMA = "station.cue";

    /** The definition in the schema that a governor's configuration must satisfy. */
    public static final String DEFINITION = "#Station";

    /**
     * A class of requests.
     *
     * @param name name of the class
     * @param retry "safe" if a request may be executed twice, "once" if it never may
     * @param sla time within which a response counts as in time
     * @param revenue value of a response in time, relative to that of other classes
     * @param kinds machine kinds that can serve the class; empty for all
     * @param zones zones that may serve the class; empty for all
     * @param homeOnly whether only endpoints of the proxy's own zone may serve the class
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
     * @param at address that the front listens on
     * @param largest maximum bytes of a message from a proxy
     */
    public record XdsConfig(String at, int largest) {}

    /**
     * The NETCONF front.
     *
     * @param at address that devices connect to (Call Home, RFC 8071)
     * @param key file with the governor's private key
     * @param devices file with the devices' pinned host keys
     * @param user user name that the governor authenticates as at the devices
     * @param largest maximum bytes of a message from a device
     * @param answers time after which an operation counts as unanswered
     * @param confirms time after which a device reverts an unconfirmed commit
     * @param locks time after which the governor stops waiting for a lock of another session
     * @param atOnce number of devices that are edited concurrently
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
     * @param from local address to connect from; null for any
     * @param pushed whether the service pushes changes
     * @param softRemoval whether an endpoint stays in use if it is only missing from the list
     * @param coldFrom share of its capacity that an endpoint starts with
     * @param warmAfter time from an endpoint's start until its full capacity
     * @param keep file that stores the latest list; null for none
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
     * @param lines maximum rate of table entries
     * @param head overhead of a message, in table entries
     * @param most maximum number of table entries that wait to be sent
     * @param messages maximum number of messages to one proxy within a span; 0 for no limit
     * @param span the span in which messages are counted
     * @param leftBehind time after which a proxy that does not answer counts as behind
     * @param patience time after which the stream of a proxy that does not answer is closed
     * @param grace time within which all proxies must stop using a removed endpoint
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
     * @param atOnce maximum number of streams that receive their first resources concurrently
     * @param most maximum number of streams in total
     * @param turn time that a stream waits for its first resources before it is rejected
     */
    public record StreamsConfig(int atOnce, int most, double turn) {}

    /**
     * Load reports.
     *
     * @param every interval between two reports of a proxy
     * @param lines maximum rate of report entries that are processed
     */
    public record LoadReportConfig(double every, double lines) {}

    /**
     * Health checks.
     *
     * @param allowed whether the governor may check endpoints itself
     * @param timeout time after which a check counts as timed out
     */
    public record HealthCheckConfig(boolean allowed, double timeout) {}

    /**
     * The capture of inputs and orders.
     *
     * @param file file of the capture; a capture of an earlier start is kept beside it
     * @param most maximum size of the file in MiB; the capture ends when the file reaches it
     * @param waits maximum number of blocks that wait for the disk; further blocks are dropped
     */
    public record CaptureConfig(String file, int most, int waits) {}

    /**
     * The governors that share the fleet. A governor without others has the fleet alone.
     *
     * @param number number of this governor; all governors are numbered from 0
     * @param zone zone of this governor; null for none
     * @param at address that receives the datagrams of the others; null without others
     * @param others the other governors
     * @param key file with the keys that all governors share; null without others
     * @param keep file that stores the highest generation; null for none
     * @param lease time for which a majority allows a governor to write to a proxy
     * @param room number of proxies that this governor has capacity for
     * @param hints whether statistics from the other governors' proxies are used at all times
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
     * @param number the other governor's number
     * @param at address that receives the other governor's datagrams
     */
    public record PeerConfig(int number, String at) {}

    /**
     * Parses a configuration. Fields of the overlay replace those of the configuration.
     *
     * @param name name of the text, for messages
     * @param text the configuration
     * @param overlayName name of the overlay, for messages; null for none
     * @param overlay the overlay; null for none
     * @throws InvalidRecordsException if the configuration violates the schema; the message gives
     *     the position and the field
     */
    public static GovernorConfig parse(String name, String text, String overlayName, String overlay)
            throws InvalidRecordsException {
        return Records.parse(
                name, text, overlayName, overlay, SCHEMA, DEFINITION, GovernorConfig.class);
    }
}
