/**
 * The NETCONF front. Devices open the connections (SSH Call Home, RFC 8071), and the governor is
 * the SSH and NETCONF client on each of them (RFC 6241, 6242). The package {@link
 * sprucelanding.control.edits} decides which operations are sent to a device, and when. This
 * package contains the sessions and the encoding.
 *
 * <p>Threads: the state of all devices is used on the event loop of {@link
 * sprucelanding.front.netconf.NetconfFront}. The SSH library's threads pass what they receive to
 * that loop, and wait while its queue is full. They use {@link
 * sprucelanding.front.netconf.DeviceKeys} directly.
 */
package sprucelanding.front.netconf;
