package org.laurelweir.load;

import java.util.List;

/**
 * What control tells a router of loads: whole each time, so that neither keeps how far the other
 * has followed.
 *
 * @param routers how many routers' requests are in it; the rest is not known
 * @param means of each service; a backend server that is not among the busy ones holds no more
 * @param busy backend servers that hold more than their service's mean; the fullest, where there
 *     are too many
 * @param hot parts that several requests are about at the same time
 */
public record LoadDigest(
        int routers, List<MeanLoad> means, List<BackendLoad> busy, List<PartLoad> hot) {
    /** Most busy backend servers that are named, which bounds the bytes of an exchange. */
    public static final int MAX_BUSY = 128;

    /** Most hot parts that are named. */
    public static final int MAX_HOT_PARTS = 64;

    /** Nothing, from a process that knows nothing. */
    public static final LoadDigest NONE = new LoadDigest(0, List.of(), List.of(), List.of());

    /** Returns whether no busy backend server was left out. */
    boolean listsAllBusy() {
        return busy.size() < MAX_BUSY;
    }

    /** Copies the lists. */
    public LoadDigest {
        means = List.copyOf(means);
        busy = List.copyOf(busy);
        hot = List.copyOf(hot);
    }
}
