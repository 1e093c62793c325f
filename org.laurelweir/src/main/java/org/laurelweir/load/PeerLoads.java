package org.laurelweir.load;

/**
 * The loads that a control instance sends to its peers: the sums over the routers that report to
 * it.
 *
 * @param control the name of the control instance
 * @param routers the number of routers that report to it
 * @param sums the sums over these routers
 */
public record PeerLoads(String control, int routers, LoadReport sums) {
    /** An update without content, which is not sent. */
    public static final PeerLoads NONE = new PeerLoads("", 0, LoadReport.NONE);

    /** Returns whether there is nothing to send. */
    public boolean isEmpty() {
        return control.isEmpty();
    }
}
