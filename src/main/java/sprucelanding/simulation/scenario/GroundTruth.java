package sprucelanding.simulation.scenario;

import sprucelanding.replay.capture.EventType;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A writer of the requests that simulated clients and endpoints observed, as a separate capture.
 */
public final class GroundTruth {
    private GroundTruth() {}

    /** Appends an event to a capture. Events that do not concern a request are skipped. */
    public static void record(TraceEvent event, RecordingInput.Sink sink) {
        if (event instanceof TraceEvent.RequestArrived arrived) {
            sink.append(
                    arrived.at(),
                    EventType.TXN,
                    arrived.at(),
                    arrived.requestClass(),
                    arrived.requestId(),
                    arrived.workMillis(),
                    arrived.proxy());
        } else if (event instanceof TraceEvent.RequestEnded ended) {
            sink.append(
                    ended.at(),
                    EventType.ENDED,
                    ended.at(),
                    ended.requestClass(),
                    ended.requestId(),
                    ended.outcome().ordinal(),
                    ended.latencyMillis());
        } else if (event instanceof TraceEvent.Executed executed) {
            sink.append(
                    executed.at(),
                    EventType.RAN,
                    executed.at(),
                    executed.endpointId(),
                    executed.requestClass(),
                    executed.proxy(),
                    executed.attempt());
        }
    }
}
