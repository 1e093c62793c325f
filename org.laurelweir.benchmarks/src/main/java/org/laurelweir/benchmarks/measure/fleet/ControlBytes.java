package org.laurelweir.benchmarks.measure.fleet;

/**
 * Counts the control bytes that routers send and receive. The message sizes include the HTTP/2
 * frame header (9 bytes), the gRPC prefix (5 bytes) and the headers as HPACK compresses them on a
 * warm connection. Request bodies don't count as control bytes.
 */
public final class ControlBytes {
    /**
     * One exchange with a control instance, both ways: position, lease, load digest. Each router
     * has one a second.
     */
    public static final int EXCHANGE = 200;

    /** One membership change: name, incarnation, address, data centre, weight. */
    public static final int VIEW_CHANGE = 88;

    /** One server's entry in a load broadcast: its index and its load. */
    public static final int LOAD_ENTRY = 12;

    /** A query for one server's load, both ways. */
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

    /** Counts bytes that depend neither on the number of servers nor on the number of requests. */
    void addPerSecond(long bytes) {
        mPerSecond += bytes;
    }

    /** Counts bytes that scale with the number of backend servers. */
    public void addPerWorker(long bytes) {
        mPerWorker += bytes;
    }

    /** Counts bytes that scale with the number of requests. */
    public void addPerRequest(long bytes) {
        mPerRequest += bytes;
    }

    /** Returns the control bytes of all routers together. */
    public long total() {
        return mPerSecond + mPerWorker + mPerRequest;
    }

    /**
     * Returns the control bytes of all routers together, extrapolated to another size.
     *
     * @param workerFactor backend servers there over backend servers here
     * @param requestFactor requests a router there over requests a router here
     */
    public double scaled(double workerFactor, double requestFactor) {
        return mPerSecond + mPerWorker * workerFactor + mPerRequest * requestFactor;
    }
}
