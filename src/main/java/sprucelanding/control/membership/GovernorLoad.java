package sprucelanding.control.membership;

/**
 * How much a governor has, as it tells the others with each lease request.
 *
 * @param streams proxies that are connected to it
 * @param capacity proxies that it is configured for
 * @param zone its zone, by position; -1 if it has none
 */
public record GovernorLoad(int streams, int capacity, int zone) {}
