/**
 * Keeps what a governor's controller was told and what it ordered, block by block in a file, and
 * runs the controller again from it: the same events must give the same orders to the last bit, and
 * the first difference is reported.
 *
 * <p>{@link sprucelanding.replay.capture.RecordingInput} records, {@link
 * sprucelanding.replay.capture.CaptureWriter} writes on a thread of its own and never delays an
 * order, {@link sprucelanding.replay.capture.Capture} reads, and {@link
 * sprucelanding.replay.capture.DecisionReplay} runs the controller again. The file format is that
 * of {@code CaptureFormat}, {@code FieldCodec} and {@link sprucelanding.replay.capture.EventType}.
 * Times are milliseconds on the governor's clock.
 */
package sprucelanding.replay.capture;
