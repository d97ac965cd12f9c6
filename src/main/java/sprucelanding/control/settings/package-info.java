/**
 * Reads the settings object that the operators write, and configures a {@link
 * sprucelanding.control.decision.RoutingController} with the settings.
 *
 * <p>The simulator adapter and the server both read the settings through {@link
 * sprucelanding.control.settings.SettingsReader}. The protocols of both also use {@link
 * sprucelanding.control.settings.MalformedInputException} and {@link
 * sprucelanding.control.settings.DecimalFormatter}.
 *
 * <p>Nothing here does I/O or starts a thread.
 */
package sprucelanding.control.settings;
