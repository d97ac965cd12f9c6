/**
 * The governor in service on the operators' platform: Serve reads its posting, then one loop
 * carries everything. Door takes proxies' streams and collectors, Watch hears discovery, probes ask
 * replicas; all of them tell Desk, which lets the decision module decide at most once a tick and
 * writes each joined proxy what Keeps says it is to be sent.
 */
package sprucelanding.runtime.server;
