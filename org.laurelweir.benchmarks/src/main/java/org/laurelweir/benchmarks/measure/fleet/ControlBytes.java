package org.laurelweir.benchmarks.measure.fleet;

/**
 * Sizes of the messages that a router sends and receives for control, in bytes with HTTP/2 frame
 * and gRPC prefix (9 and 5 bytes) and with headers as HPACK leaves them on a warm connection.
 * Bodies of requests are not control.
 */
public final class ControlBytes {
    /** One exchange a second with a control instance, both ways: position, lease, digest. */
    public static final int EXCHANGE = 200;

    /** One change of a view: name, incarnation, address, data centre, weight. */
    public static final int VIEW_CHANGE = 88;

    /** One server's load in a broadcast: index and amount. */
    public static final int LOAD_ENTRY = 12;

    /** Asking one server for its load, both ways. */
    public static final int PROBE = 128;

    /** The sidecar's load and incarnation in the head of an answer. */
    public static final int ANSWER_HINT = 12;

    /** An answer that names another server, and the head of the request sent again. */
    public static final int REDIRECT = 150;

    /** The head of a request sent again after a failed connection. */
    public static final int FAILOVER = 90;

    private long mPerSecond;
    private long mPerWorker;
    private long mPerRequest;

    /** Counts bytes that are spent whatever the load and the size. */
    void addPerSecond(long bytes) {
        mPerSecond += bytes;
    }

    /** Counts bytes that grow with the number of backend servers. */
    public void addPerWorker(long bytes) {
        mPerWorker += bytes;
    }

    /** Counts bytes that grow with the requests. */
    public void addPerRequest(long bytes) {
        mPerRequest += bytes;
    }

    /** Returns all bytes of all routers. */
    public long total() {
        return mPerSecond + mPerWorker + mPerRequest;
    }

    /**
     * Returns all bytes of all routers if there were more workers and requests to each router.
     *
     * @param workerFactor how many times as many workers
     * @param requestFactor how many times as many requests a router
     */
    public double scaled(double workerFactor, double requestFactor) {
        return mPerSecond + mPerWorker * workerFactor + mPerRequest * requestFactor;
    }
}
