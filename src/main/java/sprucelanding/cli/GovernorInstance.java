package sprucelanding.cli;

import java.io.IOException;
import java.util.Optional;
import sprucelanding.front.netconf.NetconfFront;
import sprucelanding.front.xds.XdsFront;
import sprucelanding.replay.capture.CaptureWriter;
import sprucelanding.runtime.governor.Governor;

/**
 * A governor with its fronts and its capture, created but not started. The creator starts and
 * closes the instance.
 *
 * @param governor the governor
 * @param xdsFront its xDS front
 * @param netconfFront its NETCONF front, if it is configured
 * @param captureWriter its capture, if one is configured; the capture is open already
 */
record GovernorInstance(
        Governor governor,
        XdsFront xdsFront,
        Optional<NetconfFront> netconfFront,
        Optional<CaptureWriter> captureWriter) {
    /**
     * Starts the governor, then its fronts.
     *
     * @param reportIntervalMillis time between two load reports of a proxy
     * @throws IOException if a socket cannot be opened
     */
    void start(double reportIntervalMillis) throws IOException {
        governor.start(reportIntervalMillis);
        xdsFront.start();
        if (netconfFront.isPresent()) {
            netconfFront.get().start();
        }
    }

    /** Stops the governor, then completes the capture. */
    void close() {
        governor.close();
        captureWriter.ifPresent(CaptureWriter::close);
    }
}
