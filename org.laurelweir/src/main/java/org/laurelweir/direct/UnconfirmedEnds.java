package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.direct.DirectEvent.Reachability;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * Watches backend servers whose answers ended with their connections and may be complete. A server
 * that crashes ends its connections too, so such an end neither shows that the request was served
 * nor that its server crashed. A request that crashes servers in this way would be sent to one
 * after the other.
 *
 * <p>A server that answers a later request has not crashed. If none of this router's requests shows
 * that soon, the router opens a connection to the server: a crashed server refuses it, because a
 * restart takes longer. A server that does not react tells nothing.
 */
final class UnconfirmedEnds {
    /** Time in which a crashing server that ends its connections stops to listen, too. */
    private static final Duration CHECK_DELAY = Duration.ofMillis(250);

    /** Time after which an end is forgotten; the connection attempt of a check is shorter. */
    private static final Duration MAX_WATCH_TIME = Duration.ofSeconds(1);

    /** Time within which the connections of a crashed server end. */
    private static final Duration CRASH_SPREAD = Duration.ofMillis(100);

    /** Maximum number of watched ends; of further ones, nothing is learnt. */
    private static final int MAX_ENDS = 1024;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final CrashGuard mCrashGuard;
    private final RequestDecisions mDecisions;
    private final Map<BackendRef, Watch> mWatches = new HashMap<>();
    private final Long2ObjectHashMap<Watch> mByCheck = new Long2ObjectHashMap<>();
    private int mEndCount;
    private long mLastCheck;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * The end of an answer.
     *
     * @param counts whether the answer was a success, so that the request was served if the server
     *     lives
     */
    private record End(RequestSummary request, Instant time, boolean counts) {}

    /** The ends of one server's answers, the earliest first. */
    private static final class Watch {
        private final BackendRef mServer;
        private final List<End> mEnds = new ArrayList<>();

        /** The number of the current check, or 0. */
        private long mCheck;

        private Instant mCheckStart = Instant.MAX;

        Watch(BackendRef server) {
            mServer = server;
        }

        Instant firstEnd() {
            return mEnds.get(0).time();
        }

        Instant lastEnd() {
            return mEnds.get(mEnds.size() - 1).time();
        }
    }

    UnconfirmedEnds(
            BackendSource backends,
            ServerTable servers,
            CrashGuard crashGuard,
            RequestDecisions decisions) {
        mBackends = backends;
        mServers = servers;
        mCrashGuard = crashGuard;
        mDecisions = decisions;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Records that the connection of a successful answer ended it. */
    void onAnswerEnded(ActiveRequest r, BackendRef server) {
        add(server, new End(r.summary(), mNow, true));
    }

    /** Records that the connection of an invalid answer ended it. */
    void onInvalidAnswerEnded(ActiveRequest r, BackendRef server) {
        add(server, new End(r.summary(), mNow, false));
    }

    private void add(BackendRef server, End end) {
        if (mEndCount < MAX_ENDS) {
            mWatches.computeIfAbsent(server, Watch::new).mEnds.add(end);
            mEndCount++;
        }
    }

    /** Records the answer to a request, which shows that its server lived when it was sent. */
    void onAnswer(BackendRef server, Instant requestTime) {
        Watch w = mWatches.get(server);
        if (w != null) {
            confirm(w, requestTime);
        }
    }

    private void confirm(Watch w, Instant aliveAt) {
        for (End e : remove(w, e -> e.time().isBefore(aliveAt))) {
            if (e.counts()) {
                mServers.onSuccess(e.request().service(), w.mServer);
                mCrashGuard.onServed(e.request(), mNow);
            }
        }
    }

    /** Checks the servers that have not shown that they live. */
    void onTick() {
        if (!mWatches.isEmpty()) {
            List.copyOf(mWatches.values()).forEach(this::check);
        }
    }

    private void check(Watch w) {
        remove(w, e -> !mNow.isBefore(e.time().plus(MAX_WATCH_TIME)));
        if (w.mEnds.isEmpty() || w.mCheck != 0 || mNow.isBefore(w.firstEnd().plus(CHECK_DELAY))) {
            return;
        }
        Backend backend = mBackends.backend(w.mServer.id());
        if (!isServing(backend, w.mServer)) {
            remove(w, e -> true);
            return;
        }
        if (mServers.backoffEnd(w.mServer, mNow).isPresent()) {
            // A connection would take one of its places; what can't be told stays unconfirmed.
            return;
        }
        w.mCheck = ++mLastCheck;
        w.mCheckStart = mNow;
        mByCheck.put(w.mCheck, w);
        mEffects.accept(new DirectEffect.CheckBackend(w.mCheck, w.mServer, backend.address()));
    }

    /** A server that drains or has left stops without a crash. */
    private static boolean isServing(Backend backend, BackendRef server) {
        return backend != null
                && backend.ref().equals(server)
                && backend.state() == Backend.State.SERVING;
    }

    /** Handles the result of a check. */
    void onChecked(long check, Reachability result) {
        Watch w = mByCheck.remove(check);
        if (w == null) {
            return;
        }
        w.mCheck = 0;
        if (result == Reachability.ACCEPTS) {
            confirm(w, w.mCheckStart);
        } else if (result == Reachability.REFUSES
                && !w.mEnds.isEmpty()
                && isServing(mBackends.backend(w.mServer.id()), w.mServer)) {
            recordCrash(w);
        } else {
            remove(w, e -> e.time().isBefore(w.mCheckStart));
        }
    }

    /** Records a crash under the requests whose answers ended last; it did not end the others. */
    private void recordCrash(Watch w) {
        Instant first = w.lastEnd().minus(CRASH_SPREAD);
        for (End e : remove(w, e -> true)) {
            if (!e.time().isBefore(first)) {
                RequestSummary r = e.request();
                mEffects.accept(mDecisions.crashedAtUnconfirmedEnd(r, w.mServer, mNow));
                mCrashGuard.onCrash(r, w.mServer, mNow);
            }
        }
    }

    private List<End> remove(Watch w, Predicate<End> condition) {
        List<End> removed = w.mEnds.stream().filter(condition).toList();
        w.mEnds.removeAll(removed);
        mEndCount -= removed.size();
        if (w.mEnds.isEmpty()) {
            mWatches.remove(w.mServer, w);
        }
        return removed;
    }
}
