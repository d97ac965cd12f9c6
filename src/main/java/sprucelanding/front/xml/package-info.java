/**
 * Message framing of NETCONF over SSH (RFC 6242) and a bounded XML reader. Used by the NETCONF
 * front and by the simulated devices; nothing in here does I/O of its own or starts a thread.
 */
package sprucelanding.front.xml;
