/**
 * Decides, among governors that share a fleet, which governors are live, which governor owns which
 * proxy, how many proxies each governor accepts, and which evidence about endpoints is taken over
 * from other governors. The host calls {@link sprucelanding.control.membership.FleetMember}, which
 * combines these parts:
 *
 * <ul>
 *   <li>{@link sprucelanding.control.membership.FailureDetector}: which governors are live.
 *   <li>{@link sprucelanding.control.membership.Leases}: which governor owns which proxy, until
 *       when and under which epoch. LeaseClaims and VoterRenewals are the owner's side, LeaseVoter
 *       is the voter's side, and MajorityMonitor decides whether the governor keeps serving without
 *       a majority.
 *   <li>{@link sprucelanding.control.membership.ProxyQuota}: which proxies are rejected or
 *       redirected.
 *   <li>{@link sprucelanding.control.membership.EvidenceExchange}: what the proxies of other
 *       governors observed at the endpoints.
 *   <li>{@link sprucelanding.control.membership.PeerCodec}: encodes each {@link
 *       sprucelanding.control.membership.PeerMessage} as a datagram and decodes it.
 * </ul>
 *
 * <p>Terms: a governor <em>claims</em> a proxy under an <em>epoch</em>. Each governor is a
 * <em>voter</em>, which keeps a <em>session</em> for each claimant and answers a claim with a
 * <em>grant</em>. The claimant owns the proxy while a majority (the <em>quorum</em>) has granted
 * the claim and the claimant's sessions at these voters are <em>renewed</em> within a lease. A
 * <em>generation</em> is one run of a governor's process.
 *
 * <table>
 *   <caption>States of a claim (ClaimState)</caption>
 *   <tr><th>from</th><th>condition</th><th>to</th></tr>
 *   <tr><td>any</td><td>grants of a majority are valid</td><td>OWNED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>no majority's grants are valid, and the governor serves
 *       without a majority</td><td>RETAINED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>no majority's grants are valid, and the governor does
 *       not serve without a majority</td><td>LAPSED</td></tr>
 *   <tr><td>REQUESTED</td><td>no majority's grants are valid</td><td>REQUESTED</td></tr>
 * </table>
 *
 * <table>
 *   <caption>States of a proxy at a voter (ProxyGrant)</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, OBSERVED, RELEASED</td><td>a claim with a higher epoch during the
 *       quarantine</td><td>OBSERVED</td></tr>
 *   <tr><td>none, OBSERVED, RELEASED, GRANTED in a session that has ended</td><td>a claim with a
 *       higher epoch</td><td>GRANTED</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>the grantee repeats its claim</td><td>GRANTED</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>the grantee releases the proxy</td><td>RELEASED</td></tr>
 * </table>
 *
 * <table>
 *   <caption>States of the majority (MajorityMonitor)</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority has answered within a lease</td><td>REACHED</td></tr>
 *   <tr><td>REACHED</td><td>no majority has answered for half a
 *       lease</td><td>SERVING_WITHOUT</td></tr>
 * </table>
 *
 * <p>FailureDetector documents the states of a member, ProxyStreams those of a proxy's stream.
 *
 * <p>This package does no I/O, reads no clock and starts no thread. Times are milliseconds on the
 * governor's monotonic clock. No class is safe for use by several threads.
 */
package sprucelanding.control.membership;
