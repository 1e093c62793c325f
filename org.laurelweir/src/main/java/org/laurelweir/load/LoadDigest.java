package org.laurelweir.load;

import java.util.List;

/**
 * The loads that control sends to a router. Every digest is complete, so that neither side has to
 * record what the other already knows.
 *
 * @param routers the number of routers whose requests are included
 * @param means the mean load of each service; a backend server that is not listed as busy has at
 *     most the mean
 * @param busy backend servers above the mean of their service; the fullest ones if there are more
 *     than {@link #MAX_BUSY}
 * @param hot the hot prompt parts: shared parts that several concurrent requests have
 */
public record LoadDigest(
        int routers, List<MeanLoad> means, List<BackendLoad> busy, List<PartLoad> hot) {
    /** Maximum number of busy backend servers in a digest, which bounds the size of an exchange. */
    public static final int MAX_BUSY = 128;

    /** Maximum number of hot prompt parts in a digest. */
    public static final int MAX_HOT_PARTS = 64;

    /** A digest without any load, from a process that knows none. */
    public static final LoadDigest NONE = new LoadDigest(0, List.of(), List.of(), List.of());

    /** Returns whether all busy backend servers are listed. */
    boolean listsAllBusy() {
        return busy.size() < MAX_BUSY;
    }

    /** Creates a digest with immutable copies of the lists. */
    public LoadDigest {
        means = List.copyOf(means);
        busy = List.copyOf(busy);
        hot = List.copyOf(hot);
    }
}
