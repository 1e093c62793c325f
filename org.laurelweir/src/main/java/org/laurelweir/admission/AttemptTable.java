package org.laurelweir.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.lib.AttemptId;

/** The attempts that the sidecar holds, by id and by the stream that follows each. */
final class AttemptTable {
    private final Map<AttemptId, Attempt> mById = new LinkedHashMap<>();
    private final Long2ObjectHashMap<Attempt> mByStream = new Long2ObjectHashMap<>();
    private Set<Attempt> mChanged = new LinkedHashSet<>();

    void add(Attempt attempt) {
        mById.put(attempt.id(), attempt);
        mChanged.add(attempt);
    }

    /** Records that an attempt's phase has changed. */
    void markChanged(Attempt attempt) {
        mChanged.add(attempt);
    }

    /**
     * Returns the attempts that were added or removed or whose phase or stream has changed since
     * the last call.
     */
    Set<Attempt> takeChanged() {
        Set<Attempt> changed = mChanged;
        mChanged = new LinkedHashSet<>();
        return changed;
    }

    /** Returns whether this table holds the attempt. */
    boolean contains(Attempt attempt) {
        return mById.get(attempt.id()) == attempt;
    }

    /** Returns the attempt with the id, or null. */
    Attempt find(AttemptId id) {
        return mById.get(id);
    }

    /** Returns the attempt with the id if it is running, or null. */
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
        mChanged.add(attempt);
    }

    void unfollow(Step step, Attempt attempt) {
        mByStream.remove(attempt.stream());
        attempt.unfollow(step.now());
        mChanged.add(attempt);
    }

    /** Removes an attempt and drops its output. */
    void remove(Attempt attempt) {
        attempt.output().release();
        mById.remove(attempt.id());
        mChanged.add(attempt);
        if (attempt.isFollowed()) {
            mByStream.remove(attempt.stream());
        }
    }

    /**
     * Returns a copy of all attempts in the order of their arrival. The table may change during an
     * iteration over it.
     */
    List<Attempt> attempts() {
        return new ArrayList<>(mById.values());
    }

    boolean isEmpty() {
        return mById.isEmpty();
    }
}
