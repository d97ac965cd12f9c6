/**
 * Decides, among governors that share a fleet, which of them live, which one owns which proxy, how
 * many proxies each takes, and what is believed of what the others know of the endpoints. {@link
 * sprucelanding.control.membership.FleetMember} is what a host calls; it puts the parts together:
 *
 * <ul>
 *   <li>{@link sprucelanding.control.membership.FailureDetector}: which governors live.
 *   <li>{@link sprucelanding.control.membership.Leases}: which governor owns which proxy, until
 *       when and under which epoch. Its owner's side is LeaseClaims and VoterRenewals, its voter's
 *       side LeaseVoter, and MajorityMonitor decides whether to go on without a majority.
 *   <li>{@link sprucelanding.control.membership.ProxyQuota}: which proxies are rejected or
 *       redirected.
 *   <li>{@link sprucelanding.control.membership.EvidenceExchange}: what others observed at the
 *       endpoints.
 *   <li>{@link sprucelanding.control.membership.PeerCodec}: {@link
 *       sprucelanding.control.membership.PeerMessage} as datagrams.
 * </ul>
 *
 * <p>Terms: a governor <em>claims</em> a proxy under an <em>epoch</em>; each governor is a
 * <em>voter</em>, which keeps a <em>session</em> for each claimant and answers a claim by a
 * <em>grant</em>; the claimant owns the proxy while a majority (the <em>quorum</em>) has granted it
 * and its sessions there are <em>renewed</em> within a lease. A <em>generation</em> is one run of a
 * governor's process.
 *
 * <table>
 *   <caption>States of a claim (ClaimState)</caption>
 *   <tr><th>from</th><th>condition</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority's grants hold</td><td>OWNED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>they do not; the governor serves without a
 *       majority</td><td>RETAINED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>they do not; it does not serve without
 *       one</td><td>LAPSED</td></tr>
 *   <tr><td>REQUESTED</td><td>they do not hold</td><td>REQUESTED</td></tr>
 * </table>
 *
 * <table>
 *   <caption>States of a proxy at a voter (ProxyGrant)</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, OBSERVED, RELEASED</td><td>a claim with a higher epoch, in
 *       quarantine</td><td>OBSERVED</td></tr>
 *   <tr><td>none, OBSERVED, RELEASED, GRANTED in a session that has ended</td><td>a claim with a
 *       higher epoch</td><td>GRANTED</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>its grantee claims it again</td><td>GRANTED</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>its grantee releases it</td><td>RELEASED</td></tr>
 * </table>
 *
 * <table>
 *   <caption>States of the majority (MajorityMonitor)</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority has answered within a lease</td><td>REACHED</td></tr>
 *   <tr><td>REACHED</td><td>none has for half a lease</td><td>SERVING_WITHOUT</td></tr>
 * </table>
 *
 * <p>FailureDetector has the table of a member's states, ProxyStreams that of a proxy's stream.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. Times are milliseconds on the
 * governor's monotonic clock. No class is safe for use by several threads.
 */
package sprucelanding.control.membership;
