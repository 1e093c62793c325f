package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.AnswerLimits;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RequestTerms;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.RouteShare;

/**
 * Tests in any order of events that a router obeys servers which ask for backoff or say that they
 * leave: first calls, retries, copies, restarts of servers, and control instances that forget them.
 */
class ServerNoticePropertyTest {
    private static final String SERVICE = "svc";
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
        private final RouterReducer mRouter;
        private final Map<BackendRef, Instant> mBackoffEnds = new HashMap<>();
        private final Set<BackendRef> mLeaving = new HashSet<>();
        private final Set<String> mCalled = new HashSet<>();
        private final List<BeginCall> mOpen = new ArrayList<>();
        private final long[] mIncarnations = new long[SERVERS];
        private Instant mNow = Instant.EPOCH;
        private int mSession;
        private int mControl;
        private long mLastCaller;

        Run(long seed) {
            mRandom = new SplittableRandom(seed);
            mRouter =
                    new RouterReducer(
                            new RouterConfig(
                                    "r", 1, seed, SECOND, 16, LIMITS, AnswerLimits.DEFAULT, 0.5));
        }

        private void step(RouterEvent event) {
            mRouter.step(
                    mNow,
                    event,
                    e -> {
                        if (e instanceof RouterEffect.Direct d
                                && d.effect() instanceof BeginCall c) {
                            onCall(c);
                        }
                    });
        }

        private void step(DirectEvent event) {
            step(new RouterEvent.Direct(event));
        }

        private void onCall(BeginCall call) {
            BackendRef server = call.backend();
            Instant end = mBackoffEnds.getOrDefault(server, Instant.MIN);
            assertThat(mNow).as("call to %s", server).isAfterOrEqualTo(end);
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
                advance(Duration.ofMillis(1 + mRandom.nextInt(150)));
            } else if (action < 96) {
                mIncarnations[mRandom.nextInt(SERVERS)]++;
                receiveAll();
            } else {
                receive(mRandom.nextInt(SERVERS + 1));
            }
        }

        private void advance(Duration time) {
            mNow = mNow.plus(time);
            step(new RouterEvent.Tick());
        }

        private void arrive() {
            Route route =
                    new Route(
                            "r",
                            "h",
                            "/",
                            List.of(new RouteShare(SERVICE, 1)),
                            mRandom.nextBoolean(),
                            false,
                            false,
                            false,
                            3,
                            SECOND,
                            Duration.ofMillis(100),
                            Duration.ofMillis(100),
                            5);
            long caller = ++mLastCaller;
            AttemptRequest.Call call =
                    new AttemptRequest.Call("POST", "/x" + caller, List.of(), new byte[0], false);
            RequestTerms terms = new RequestTerms(mRandom.nextBoolean(), 1, 0, Map.of());
            RoutedRequest request =
                    new RoutedRequest("id" + caller, route, "acc", 5, SECOND, call, prompt())
                            .withTerms(terms);
            step(new DirectEvent.RequestArrived(caller, request));
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
                answer(call, 503, mRandom.nextInt(4) > 0);
            } else if (how < 4) {
                if (mRandom.nextInt(8) == 0) {
                    notice(call.backend(), new ServerNotice(Duration.ZERO, true));
                }
                answer(call, 200, false);
            } else if (how < 5) {
                step(
                        new DirectEvent.Failed(
                                call.call(), DirectEvent.Failure.CONNECTION_LOST, "reset"));
            } else {
                answer(call, 200, false);
            }
        }

        private void notice(BackendRef server, ServerNotice notice) {
            if (notice.leaving()) {
                mLeaving.add(server);
            }
            mBackoffEnds.merge(server, mNow.plus(notice.backoff()), (a, b) -> a.isAfter(b) ? a : b);
            step(new DirectEvent.ServerNoticed(server, notice));
        }

        private void answer(BeginCall call, int status, boolean notRun) {
            AnswerMetadata metadata =
                    new AnswerMetadata(notRun, false, true, BodyFraming.LENGTH, Optional.empty());
            step(new DirectEvent.HeadReceived(call.call(), status, List.of(), metadata));
            step(new DirectEvent.Finished(call.call()));
        }

        /** Answers all calls; waiting requests that start then are answered too. */
        private void answerOpenCalls() {
            while (!mOpen.isEmpty()) {
                answer(mOpen.remove(0), 200, false);
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
            step(
                    new RouterEvent.ExchangeAnswered(
                            new MembershipDelta(cursor, true, named),
                            CrashDelta.NONE,
                            LoadDigest.NONE,
                            List.of(),
                            1,
                            PlacementRules.NONE));
        }

        private Backend backend(int number) {
            return new Backend(
                    new BackendRef("s" + number, mIncarnations[number]),
                    SERVICE,
                    "dc",
                    "rg",
                    "s" + number + ":80",
                    Backend.State.SERVING,
                    6,
                    mSession);
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
            advance(Duration.ofSeconds(20));
            mCalled.clear();
            for (int i = 0; i < 300; i++) {
                arrive();
                answerOpenCalls();
                advance(Duration.ofMillis(10));
            }
            assertThat(mCalled).hasSize(SERVERS);
        }
    }
}
