/**
 * The NETCONF front. Devices open the connection (SSH Call Home, RFC 8071), the governor is the SSH
 * and NETCONF client of each (RFC 6241, 6242). Which operations a device is sent, and when, is
 * decided in {@link sprucelanding.control.edits}; here are sessions, framing and XML.
 *
 * <p>Threads: everything about devices happens on the event loop of {@link
 * sprucelanding.front.netconf.NetconfFront}. The SSH library's threads hand what they receive over
 * to it and wait while its queue is full; {@link sprucelanding.front.netconf.DeviceKeys} is used by
 * them directly.
 */
package sprucelanding.front.netconf;
