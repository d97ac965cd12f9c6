/**
 * Keeps the inputs and the orders of a governor's controller in a capture file, and replays the
 * inputs to a new controller. The same inputs must give the same orders, to the last bit; the first
 * difference is reported.
 *
 * <p>{@link sprucelanding.replay.capture.RecordingInput} records events. {@link
 * sprucelanding.replay.capture.CaptureWriter} writes them to a file on a dedicated thread and never
 * delays an order. {@link sprucelanding.replay.capture.Capture} reads the file, and {@link
 * sprucelanding.replay.capture.DecisionReplay} replays it. The file format is defined by {@code
 * CaptureFormat}, {@code FieldCodec} and {@link sprucelanding.replay.capture.EventType}. Times are
 * milliseconds on the governor's clock.
 */
package sprucelanding.replay.capture;
