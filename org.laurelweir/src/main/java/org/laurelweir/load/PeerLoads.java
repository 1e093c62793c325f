package org.laurelweir.load;

import org.laurelweir.contention.ContentionReport;

/**
 * The loads that a control instance sends to its peers: the sums over the routers that report to
 * it.
 *
 * @param control the name of the control instance
 * @param routers the number of routers that report to it
 * @param sums the sums over these routers
 * @param contention the demand of these routers; {@link ContentionReport#NONE} if none is contended
 */
public record PeerLoads(String control, int routers, LoadReport sums, ContentionReport contention) {
    /** An update without content, which is not sent. */
    public static final PeerLoads NONE = new PeerLoads("", 0, LoadReport.NONE);

    /** Creates an update of routers that are not contended. */
    public PeerLoads(String control, int routers, LoadReport sums) {
        this(control, routers, sums, ContentionReport.NONE);
    }

    /** Returns whether there is nothing to send. */
    public boolean isEmpty() {
        return control.isEmpty();
    }
}
