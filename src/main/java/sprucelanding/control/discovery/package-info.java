/**
 * Keeps the list of endpoints as discovery reported it. Each entry is checked, and the list's
 * version only grows while a connection to discovery lasts. The package also formats the list as
 * the text that is stored for a restart.
 *
 * <p>Nothing here does I/O or starts a thread. The governor reads updates from its connection to
 * discovery and writes the stored list to its file.
 */
package sprucelanding.control.discovery;
