/**
 * Decides which of the streamed configuration versions is in force. Selects the version to check
 * next, and accepts, rejects with a reason, delays until the fleet is calm, or rolls back a
 * version. The host calls {@link sprucelanding.config.configstream.ConfigVersions}. {@code
 * VersionState} has the table of transitions.
 *
 * <p>The package uses no I/O, no clock and no threads, and does not read records. The host reports
 * the results of the checks.
 */
package sprucelanding.config.configstream;
