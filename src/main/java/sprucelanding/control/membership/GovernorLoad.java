package sprucelanding.control.membership;

/**
 * The load of a governor, which the governor reports to the others with each lease request.
 *
 * @param streams number of proxies that are connected to the governor
 * @param capacity number of proxies that the governor is configured for
 * @param zone the index of the governor's zone; -1 if it has none
 */
public record GovernorLoad(int streams, int capacity, int zone) {}
