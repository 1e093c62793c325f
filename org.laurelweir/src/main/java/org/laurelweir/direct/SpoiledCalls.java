package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;

/**
 * Calls whose answers can't be taken, until it shows what becomes of their backend servers. The
 * request goes on without them; closed at once, their connections would not tell a server that ends
 * from one that lives.
 */
final class SpoiledCalls {
    /**
     * Longer than a server that fails under a request takes to end. A server that nobody waits for
     * has to stop its work sooner than half a second after.
     */
    private static final Duration WATCHED = Duration.ofMillis(300);

    private final LoadEstimator mLoads;
    private final CrashGuard mGuard;
    private final Reports mReports;
    private final Long2ObjectHashMap<Spoiled> mCalls = new Long2ObjectHashMap<>();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    private record Spoiled(long call, ActiveCall request, BackendRef backend, Instant until) {}

    SpoiledCalls(LoadEstimator loads, CrashGuard guard, Reports reports) {
        mLoads = loads;
        mGuard = guard;
        mReports = reports;
    }

    /** Begins a step of the reducer. */
    void enter(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Watches a call that its request has left. */
    void watch(ActiveCall r, long call) {
        mLoads.began(r.mBackend, r.part());
        mCalls.put(call, new Spoiled(call, r, r.mBackend, mNow.plus(WATCHED)));
    }

    /** Returns whether a backend server that spoiled its answer to a request may yet end. */
    boolean isWatched(ActiveCall r) {
        return mCalls.values().stream().anyMatch(s -> s.request() == r);
    }

    /** The answer is whole: the server has not ended. */
    void finished(long call) {
        Spoiled s = mCalls.get(call);
        if (s != null) {
            close(s);
        }
    }

    /** The call has ended without a whole answer. */
    void failed(long call, DirectEvent.Failure failure) {
        Spoiled s = mCalls.get(call);
        if (s == null) {
            return;
        }
        forget(s);
        if (failure == DirectEvent.Failure.CONNECTION_LOST) {
            mEffects.accept(mReports.endedAfterBadHead(s.request(), s.backend(), mNow));
            mGuard.lost(s.request(), s.backend(), mNow);
        }
    }

    /** The request was served elsewhere: it ends no server, and its other calls are of no use. */
    void served(ActiveCall r) {
        List<Spoiled> own = mCalls.values().stream().filter(s -> s.request() == r).toList();
        own.forEach(this::close);
    }

    /** Closes the connections of servers that have not ended in time. */
    void check() {
        if (!mCalls.isEmpty()) {
            List<Spoiled> due =
                    mCalls.values().stream().filter(s -> !mNow.isBefore(s.until())).toList();
            due.forEach(this::close);
        }
    }

    private void close(Spoiled s) {
        forget(s);
        mEffects.accept(new DirectEffect.CancelCall(s.call()));
    }

    private void forget(Spoiled s) {
        mCalls.remove(s.call());
        mLoads.ended(s.backend(), s.request().part());
    }
}
