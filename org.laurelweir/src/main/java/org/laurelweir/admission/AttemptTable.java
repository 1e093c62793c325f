package org.laurelweir.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.lib.AttemptId;

/** The attempts that the sidecar holds, by id and by the stream that follows each. */
final class AttemptTable {
    private final Map<AttemptId, Attempt> mById = new LinkedHashMap<>();
    private final Long2ObjectHashMap<Attempt> mByStream = new Long2ObjectHashMap<>();

    void add(Attempt attempt) {
        mById.put(attempt.id(), attempt);
    }

    /** Returns the attempt of an id, or null. */
    Attempt find(AttemptId id) {
        return mById.get(id);
    }

    /** Returns the attempt of an id if it runs, or null. */
    Attempt findRunning(AttemptId id) {
        Attempt a = mById.get(id);
        return a != null && a.phase() == Attempt.Phase.RUNNING ? a : null;
    }

    /** Returns the attempt that a stream follows, or null. */
    Attempt findByStream(long stream) {
        return mByStream.get(stream);
    }

    void follow(Attempt attempt, long stream, boolean resumed) {
        if (attempt.isFollowed()) {
            mByStream.remove(attempt.stream());
        }
        attempt.follow(stream, resumed);
        mByStream.put(stream, attempt);
    }

    void unfollow(Step step, Attempt attempt) {
        mByStream.remove(attempt.stream());
        attempt.unfollow(step.now());
    }

    /** Forgets an attempt and drops its output. */
    void remove(Attempt attempt) {
        attempt.output().release();
        mById.remove(attempt.id());
        if (attempt.isFollowed()) {
            mByStream.remove(attempt.stream());
        }
    }

    /** Returns all attempts in the order of their arrival, safe against changes meanwhile. */
    List<Attempt> all() {
        return new ArrayList<>(mById.values());
    }

    /** Returns the attempts that a stream follows, safe against changes meanwhile. */
    List<Attempt> followed() {
        return new ArrayList<>(mByStream.values());
    }

    boolean isEmpty() {
        return mById.isEmpty();
    }
}
