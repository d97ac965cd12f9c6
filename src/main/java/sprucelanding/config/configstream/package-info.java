/**
 * Decides which of the configuration versions that stream in comes in force: what is checked next,
 * accepted, rejected with its reason, held until the fleet is calm, or rolled back. {@link
 * sprucelanding.config.configstream.ConfigVersions} is what a host calls; {@code VersionState} has
 * the table of transitions.
 *
 * <p>No I/O, no clock, no threads, and no reading of records: the host reports what the checks
 * found.
 */
package sprucelanding.config.configstream;
