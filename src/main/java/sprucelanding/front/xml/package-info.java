/**
 * Message framing of NETCONF over SSH (RFC 6242), and an XML reader that limits its input. The
 * NETCONF front and the simulated devices use this package. It does no I/O and starts no thread.
 */
package sprucelanding.front.xml;
