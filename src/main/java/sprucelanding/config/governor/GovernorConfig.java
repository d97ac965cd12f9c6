package sprucelanding.config.governor;

import java.util.List;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;

/**
 * What a governor is told at its start; station.cue says what each is, with its bounds. Times in
 * ms.
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
    public record RequestClassConfig(
            String name,
            String retry,
            double sla,
            double revenue,
            List<String> kinds,
            List<String> zones,
            boolean homeOnly) {}

    public record XdsConfig(String at, int largest) {}

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

    public record DiscoveryConfig(
            String at,
            String from,
            boolean pushed,
            boolean softRemoval,
            double coldFrom,
            double warmAfter,
            String keep) {}

    public record ChannelConfig(
            double lines,
            double head,
            double most,
            int messages,
            double span,
            double leftBehind,
            double patience,
            double grace) {}

    public record StreamsConfig(int atOnce, int most, double turn) {}

    public record LoadReportConfig(double every, double lines) {}

    public record HealthCheckConfig(boolean allowed, double timeout) {}

    public record CaptureConfig(String file, int most, int waits) {}

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

    public record PeerConfig(int number, String at) {}

    /**
     * Reads a station's text with another laid over it, whose fields take the place of its own;
     * null for none.
     */
    public static GovernorConfig parse(String name, String text, String overlayName, String overlay)
            throws InvalidRecordsException {
        return Records.parse(
                name, text, overlayName, overlay, SCHEMA, DEFINITION, GovernorConfig.class);
    }

    /** The record's file must meet this definition. */
    public static final String SCHEMA = "station.cue";

    public static final String DEFINITION = "#Station";
}
