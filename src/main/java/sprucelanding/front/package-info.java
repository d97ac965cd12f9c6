/**
 * What the fronts to proxies have in common: handing notifications to the core, and counting the
 * requests that load reports tell of.
 */
package sprucelanding.front;
