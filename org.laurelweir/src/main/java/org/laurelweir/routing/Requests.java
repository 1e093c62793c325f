package org.laurelweir.routing;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Long2ObjectHashMap;

/** The requests in flight, by caller and by stream. */
final class Requests {
    private final Long2ObjectHashMap<ActiveRequest> mByCaller = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<ActiveRequest> mByStream = new Long2ObjectHashMap<>();
    private long mLastStream;

    void add(ActiveRequest request) {
        mByCaller.put(request.mCaller, request);
    }

    /** Returns the caller's request, or null if it has ended. */
    ActiveRequest byCaller(long caller) {
        return mByCaller.get(caller);
    }

    /** Returns the request that reads from a stream, or null if none does. */
    ActiveRequest byStream(long stream) {
        return mByStream.get(stream);
    }

    /**
     * Opens a new stream for the request. Frames of its previous stream are ignored from now on.
     */
    long openStream(ActiveRequest request) {
        closeStream(request);
        request.mStream = ++mLastStream;
        mByStream.put(request.mStream, request);
        return request.mStream;
    }

    void closeStream(ActiveRequest request) {
        if (request.mStream != 0) {
            mByStream.remove(request.mStream);
            request.mStream = 0;
        }
    }

    void remove(ActiveRequest request) {
        closeStream(request);
        mByCaller.remove(request.mCaller);
    }

    /** Returns a copy, so that handling a request may end others. */
    List<ActiveRequest> all() {
        return new ArrayList<>(mByCaller.values());
    }

    boolean isEmpty() {
        return mByCaller.isEmpty();
    }
}
