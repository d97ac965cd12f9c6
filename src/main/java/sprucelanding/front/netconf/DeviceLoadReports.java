package sprucelanding.front.netconf;

import java.util.ArrayList;
import java.util.List;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.governor.ResourceNaming;

/** A device's notification of what it met, as a report. */
final class DeviceLoadReports {
    private DeviceLoadReports() {}

    /** Null if a number in it is none. */
    static LoadReport parse(int proxyId, XmlElement loadElement, ResourceNaming naming) {
        try {
            List<LoadReport.EndpointStats> endpointLoads = new ArrayList<>();
            for (XmlElement element : loadElement.childrenNamed("replica")) {
                endpointLoads.add(
                        new LoadReport.EndpointStats(
                                Long.parseLong(element.text("id")),
                                Long.parseLong(element.text("issued")),
                                Long.parseLong(element.text("settled")),
                                Long.parseLong(element.text("voided")),
                                Double.parseDouble(element.text("answer-ms")),
                                Double.parseDouble(element.text("util")),
                                Long.parseLong(element.text("told"))));
            }
            long[] requestCounts = new long[naming.requestClassNames().size()];
            for (XmlElement element : loadElement.childrenNamed("came")) {
                int classIndex = naming.requestClassNames().indexOf(element.text("product"));
                if (classIndex >= 0) {
                    requestCounts[classIndex] += Long.parseLong(element.text("txns"));
                }
            }
            List<Long> requestsByClass = new ArrayList<>();
            for (long count : requestCounts) {
                requestsByClass.add(count);
            }
            return new LoadReport(
                    proxyId,
                    Double.parseDouble(loadElement.text("span-ms")),
                    endpointLoads,
                    requestsByClass);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
