/**
 * Reads the settings object that the operators write, and configures a {@link
 * sprucelanding.control.decision.RoutingController} by it.
 *
 * <p>The adapter to the simulator and the server read the same settings through {@link
 * sprucelanding.control.settings.SettingsReader}. {@link
 * sprucelanding.control.settings.MalformedInputException} and {@link
 * sprucelanding.control.settings.DecimalFormatter} serve both of their protocols too.
 *
 * <p>Nothing here does I/O or starts a thread.
 */
package sprucelanding.control.settings;
