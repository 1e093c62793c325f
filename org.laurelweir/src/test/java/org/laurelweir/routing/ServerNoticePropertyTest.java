package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.AnswerLimits;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RequestTerms;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;

/**
 * Tests in any order of events that a router obeys servers which ask for backoff or say that they
 * leave: first calls, retries, copies, restarts of servers, and control instances that forget them.
 */
class ServerNoticePropertyTest {
    private static final int SERVERS = 5;
    private static final int EVENTS = 600;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final RetryLimits LIMITS =
            new RetryLimits(0.5, 64, Duration.ofSeconds(10), 1, 1);

    /** Guards against a request to a server that wants none, by whichever way it gets there. */
    @Property(tries = 200, seed = "68")
    void noRequestReachesAServerThatWantsNone(@ForAll long seed) {
        Run run = new Run(seed);
        run.receiveAll();
        for (int i = 0; i < EVENTS; i++) {
            run.act();
        }
        run.checkThatServersGetRequestsAgain();
    }

    /** One router with servers of one service, and what the servers have said. */
    private static final class Run {
        private final SplittableRandom mRandom;
        private final RoutedRequestDriver mRouter;
        private final Map<BackendRef, Instant> mBackoffEnds = new HashMap<>();
        private final Set<BackendRef> mLeaving = new HashSet<>();
        private final Set<String> mCalled = new HashSet<>();
        private final List<BeginCall> mOpen = new ArrayList<>();
        private final long[] mIncarnations = new long[SERVERS];
        private int mSession;
        private int mControl;
        private long mLastCaller;

        Run(long seed) {
            mRandom = new SplittableRandom(seed);
            mRouter =
                    new RoutedRequestDriver(
                            new RouterConfig(
                                    "r", 1, seed, SECOND, 16, LIMITS, AnswerLimits.DEFAULT, 0.5),
                            this::onCall);
        }

        private void onCall(BeginCall call) {
            BackendRef server = call.backend();
            Instant end = mBackoffEnds.getOrDefault(server, Instant.MIN);
            assertThat(mRouter.now()).as("call to %s", server).isAfterOrEqualTo(end);
            assertThat(mLeaving).doesNotContain(server);
            mOpen.add(call);
            mCalled.add(server.id());
        }

        void act() {
            int action = mRandom.nextInt(100);
            if (action < 40) {
                arrive();
            } else if (action < 75) {
                if (!mOpen.isEmpty()) {
                    endCall(mOpen.remove(mRandom.nextInt(mOpen.size())));
                }
            } else if (action < 94) {
                mRouter.advance(Duration.ofMillis(1 + mRandom.nextInt(150)));
            } else if (action < 96) {
                mIncarnations[mRandom.nextInt(SERVERS)]++;
                receiveAll();
            } else {
                receive(mRandom.nextInt(SERVERS + 1));
            }
        }

        private void arrive() {
            long caller = ++mLastCaller;
            boolean idempotent = mRandom.nextBoolean();
            RequestTerms terms = new RequestTerms(mRandom.nextBoolean(), 1, 0, Map.of());
            RoutedRequest request = RoutedRequestDriver.request(caller, idempotent, prompt());
            mRouter.step(new DirectEvent.RequestArrived(caller, request.withTerms(terms)));
        }

        private Prompt prompt() {
            if (mRandom.nextBoolean()) {
                return Prompt.NONE;
            }
            long document = mRandom.nextInt(4);
            return new Prompt(
                    List.of(new Prompt.Part(document, 900), new Prompt.Part(1_000 + document, 10)),
                    910,
                    5);
        }

        private void endCall(BeginCall call) {
            int how = mRandom.nextInt(10);
            if (how < 3) {
                Duration backoff = Duration.ofMillis(50 + mRandom.nextInt(4000));
                notice(call.backend(), new ServerNotice(backoff, false));
                mRouter.answer(call, 503, mRandom.nextInt(4) > 0);
            } else if (how < 4) {
                if (mRandom.nextInt(8) == 0) {
                    notice(call.backend(), new ServerNotice(Duration.ZERO, true));
                }
                mRouter.answer(call, 200, false);
            } else if (how < 5) {
                mRouter.loseConnection(call);
            } else {
                mRouter.answer(call, 200, false);
            }
        }

        private void notice(BackendRef server, ServerNotice notice) {
            if (notice.leaving()) {
                mLeaving.add(server);
            }
            mBackoffEnds.merge(
                    server, mRouter.now().plus(notice.backoff()), (a, b) -> a.isAfter(b) ? a : b);
            mRouter.step(new DirectEvent.ServerNoticed(server, notice));
        }

        /** Answers all calls; waiting requests that start then are answered too. */
        private void answerOpenCalls() {
            while (!mOpen.isEmpty()) {
                mRouter.answer(mOpen.remove(0), 200, false);
            }
        }

        void receiveAll() {
            receive(SERVERS);
        }

        /** Receives the view of another control instance, which lacks one server or none. */
        private void receive(int missing) {
            mSession++;
            List<Backend> named = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                if (i != missing) {
                    named.add(backend(i));
                }
            }
            MembershipCursor cursor = new MembershipCursor("c" + mControl++ % 3, mSession, 1);
            mRouter.receive(cursor, true, 1, named);
        }

        private Backend backend(int number) {
            return RoutedRequestDriver.backend("s" + number, mIncarnations[number], mSession);
        }

        /** Checks that backoffs end, and that servers which started anew are used. */
        void checkThatServersGetRequestsAgain() {
            for (int i = 0; i < SERVERS; i++) {
                if (mLeaving.contains(backend(i).ref())) {
                    mIncarnations[i]++;
                }
            }
            answerOpenCalls();
            receiveAll();
            mRouter.advance(Duration.ofSeconds(20));
            mCalled.clear();
            for (int i = 0; i < 300; i++) {
                arrive();
                answerOpenCalls();
                mRouter.advance(Duration.ofMillis(10));
            }
            assertThat(mCalled).hasSize(SERVERS);
        }
    }
}
