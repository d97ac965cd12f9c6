/**
 * Decides which of the configurations that stream in come in force: what is checked next, accepted,
 * refused with its reason, held until the fleet allows, or taken back. No I/O, and no reading of
 * records: the host tells what the checks found.
 */
package sprucelanding.config.configstream;
