package org.laurelweir.load;

/**
 * What a control instance passes on to the others of what its routers have under way.
 *
 * @param control the instance's name
 * @param routers how many routers report to it
 * @param sums over these routers
 */
public record PeerLoads(String control, int routers, LoadReport sums) {
    /** Nothing to pass on. */
    public static final PeerLoads NONE = new PeerLoads("", 0, LoadReport.NONE);

    /** Returns whether there is nothing to pass on. */
    public boolean isEmpty() {
        return control.isEmpty();
    }
}
