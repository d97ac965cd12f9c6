/**
 * NETCONF's framing (RFC 6242) and XML within bounds, for the front and for the devices that stand
 * in.
 */
package sprucelanding.front.xml;
