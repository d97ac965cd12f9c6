package sprucelanding.control.distribution;

import java.util.BitSet;
import java.util.Collection;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;

/**
 * A receiver of a controller's orders that forwards the orders on tables, ejections and
 * acknowledgements to a distributor. Subclasses receive the other orders.
 */
public abstract class DistributorOutput implements ControllerOutput {
    private final TableDistributor distributor;

    /** Creates a receiver that forwards to the given distributor. */
    protected DistributorOutput(TableDistributor distributor) {
        this.distributor = distributor;
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        distributor.setWeight(table, endpoint, weight);
    }

    @Override
    public void clearTable(int table) {
        distributor.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        distributor.setEjected(endpoint, ejected);
    }

    @Override
    public void restoreAt(Endpoint endpoint, Collection<Proxy> proxies) {
        distributor.restoreAt(endpoint, proxies);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedShareOrRate, int retryPolicy) {
        distributor.setAdmission(table, requestClass, admittedShareOrRate, retryPolicy);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        distributor.bindProxy(table, proxy, requestClasses);
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        distributor.requestAcknowledgement(acknowledgementId);
    }
}
