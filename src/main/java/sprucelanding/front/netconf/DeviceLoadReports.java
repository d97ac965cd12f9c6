package sprucelanding.front.netconf;

import java.util.List;
import java.util.Optional;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.RequestCounter;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.governor.ResourceNaming;

/** Converter of a device's load notifications (docs/sprucelanding-proxy.yang) to load reports. */
final class DeviceLoadReports {
    private DeviceLoadReports() {}

    /** Returns the report in a notification; empty if one of its numbers can't be parsed. */
    static Optional<LoadReport> parse(int proxyId, XmlElement notification, ResourceNaming naming) {
        try {
            List<LoadReport.EndpointStats> endpointStats =
                    notification.childrenNamed("replica").stream()
                            .map(DeviceLoadReports::parseEndpoint)
                            .toList();
            List<Long> requestsByClass = parseRequests(notification, naming.requestClassNames());
            double spanMillis = Double.parseDouble(notification.text("span-ms"));
            return Optional.of(new LoadReport(proxyId, spanMillis, endpointStats, requestsByClass));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static LoadReport.EndpointStats parseEndpoint(XmlElement element) {
        return new LoadReport.EndpointStats(
                Long.parseLong(element.text("id")),
                Long.parseLong(element.text("issued")),
                Long.parseLong(element.text("settled")),
                Long.parseLong(element.text("voided")),
                Double.parseDouble(element.text("answer-ms")),
                Double.parseDouble(element.text("util")),
                Long.parseLong(element.text("told")));
    }

    private static List<Long> parseRequests(XmlElement notification, List<String> classNames) {
        RequestCounter requests = new RequestCounter(classNames);
        for (XmlElement element : notification.childrenNamed("came")) {
            String className = element.text("product");
            if (requests.isKnown(className)) {
                requests.add(className, Long.parseLong(element.text("txns")));
            }
        }
        return requests.counts();
    }
}
