package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;

/**
 * Records what backend servers say of themselves in answers. It holds for all requests of this
 * router, and needs no contact with control.
 */
final class NoticeHandler {
    private static final String PROGRAM = "router";

    /** Minimum extension of a backoff that is logged, so that not every answer in it has a line. */
    private static final Duration MIN_LOGGED_EXTENSION = Duration.ofSeconds(1);

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final NoticeCounts mCounts = new NoticeCounts();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    NoticeHandler(BackendSource backends, ServerTable servers) {
        mBackends = backends;
        mServers = servers;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    NoticeCounts counts() {
        return mCounts;
    }

    /** Updates the number of servers in backoff. */
    void onTick() {
        mCounts.setInBackoff(mServers.backoffCount(mNow));
    }

    void onNoticed(DirectEvent.ServerNoticed e) {
        if (e.notice().asksForBackoff()) {
            onBackoff(e.server(), e.notice().backoff());
        }
        if (e.notice().leaving() && mBackends.onLeaving(mNow, e.server())) {
            mCounts.onLeaving();
            log(e.server(), "DRAINING", "said in an answer that it is leaving");
        }
    }

    private void onBackoff(BackendRef server, Duration backoff) {
        Instant before = mServers.backoffEnd(server, mNow).orElse(mNow);
        Instant end = mNow.plus(backoff);
        if (!mServers.onBackoff(server, end)) {
            return;
        }
        mCounts.onBackoff();
        if (!end.isBefore(before.plus(MIN_LOGGED_EXTENSION)) || before.equals(mNow)) {
            log(server, "BACKOFF", "asked for " + backoff.toMillis() + " ms without requests");
        }
    }

    private void log(BackendRef server, String state, String reason) {
        Backend known = mBackends.backend(server.id());
        Decision decision =
                Decision.builder(mNow, PROGRAM)
                        .service(known == null ? "" : known.service())
                        .candidates(List.of(server.id()))
                        .choice(state, reason)
                        .build();
        mEffects.accept(new DirectEffect.LogDecision(decision));
    }
}
