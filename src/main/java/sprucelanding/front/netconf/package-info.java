/**
 * The NETCONF front: devices dial in over SSH (Call Home, RFC 8071), the governor is the client of
 * each (RFC 6241, 6242). What is done at a device and when is decided in sprucelanding.edits; here
 * is framing, XML, and the sessions.
 */
package sprucelanding.front.netconf;
