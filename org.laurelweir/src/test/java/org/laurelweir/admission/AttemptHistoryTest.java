package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;

/**
 * Sends the sidecar messages in random order, also late, repeated and overtaken ones, with drains,
 * stops and restarts, and compares its replies with the fake engine's record of the calls that ran.
 * Guards against an attempt that runs twice or after it was reported as not run, and against an
 * incomplete answer.
 */
class AttemptHistoryTest {
    private enum Kind {
        REQUEST,
        RESUME,
        ACKNOWLEDGE,
        CANCEL,
        REVOKE,
        CLOSE_STREAM,
        ENGINE_STEP,
        TICK,
        WAIT_LONG,
        RESTART,
        DRAIN,
        STOP,
        MEAN_LOAD
    }

    /** One action. The selector chooses the attempt it concerns, the variant its details. */
    private record Action(Kind kind, int selector, int variant) {}

    @Property(tries = 3000, seed = "42001")
    void attemptsRunAtMostOnceAndAnswersAreComplete(@ForAll("histories") List<Action> actions) {
        Simulation simulation = new Simulation();
        actions.forEach(simulation::perform);
    }

    @Provide
    Arbitrary<List<Action>> histories() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequency(
                        Tuple.of(8, Kind.REQUEST),
                        Tuple.of(5, Kind.RESUME),
                        Tuple.of(3, Kind.ACKNOWLEDGE),
                        Tuple.of(1, Kind.CANCEL),
                        Tuple.of(3, Kind.REVOKE),
                        Tuple.of(2, Kind.CLOSE_STREAM),
                        Tuple.of(24, Kind.ENGINE_STEP),
                        Tuple.of(4, Kind.TICK),
                        Tuple.of(2, Kind.WAIT_LONG),
                        Tuple.of(1, Kind.RESTART),
                        Tuple.of(1, Kind.DRAIN),
                        Tuple.of(1, Kind.STOP),
                        Tuple.of(1, Kind.MEAN_LOAD));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1 << 16);
        return Combinators.combine(kinds, numbers, numbers)
                .as(Action::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(120);
    }

    /** Routers, a sidecar that may restart, and its engine. */
    private static final class Simulation {
        private static final int REQUEST_COUNT = 3;
        private static final int ATTEMPTS_PER_REQUEST = 2;
        private static final Duration[] LONG_WAITS = {
            Duration.ofSeconds(3), Duration.ofSeconds(40), Duration.ofMinutes(66)
        };

        private final FakeEngine mEngine = new FakeEngine();
        private final Set<AttemptId> mRefused = new HashSet<>();
        private final Map<AttemptId, Frame> mFinalFrames = new HashMap<>();
        private final Map<Long, StreamCheck> mStreams = new HashMap<>();
        private final Map<AttemptId, Long> mTargetIncarnations = new HashMap<>();
        private final Set<AttemptId> mRunning = new HashSet<>();
        private boolean mDraining;
        private boolean mStopping;
        private Instant mNow = Instant.parse("2026-12-02T10:00:00Z");
        private long mIncarnation = 1;
        private SidecarReducer mSidecar = newSidecar();
        private long mStreamCount;
        private AttemptId mRevokedAttempt;

        private SidecarReducer newSidecar() {
            return new SidecarReducer(
                    new SidecarIdentity(self(), Requests.SERVICE, "bergen", "vestkyst", "a", 1));
        }

        private BackendRef self() {
            return new BackendRef("engine-1", mIncarnation);
        }

        private AttemptId attemptId(int selector) {
            return new AttemptId(
                    "router-1",
                    1,
                    selector % REQUEST_COUNT,
                    1 + selector / REQUEST_COUNT % ATTEMPTS_PER_REQUEST);
        }

        /**
         * The backend server's run that the attempt is sent to: each attempt is for one incarnation
         * of the sidecar.
         */
        private BackendRef target(AttemptId id) {
            return new BackendRef("engine-1", id.attempt());
        }

        void perform(Action action) {
            mNow = mNow.plusMillis(action.variant() % 200);
            AttemptId id = attemptId(action.selector());
            switch (action.kind()) {
                case REQUEST -> request(id, action.variant());
                case RESUME -> resume(id, action.variant());
                case ACKNOWLEDGE -> acknowledge(id, action.variant());
                case CANCEL -> step(new SidecarEvent.AttemptCancelled(id));
                case REVOKE -> revoke(id);
                case CLOSE_STREAM -> closeStream(action.variant());
                case ENGINE_STEP -> stepEngine(id, action.variant());
                case TICK -> step(new SidecarEvent.Tick());
                case WAIT_LONG -> waitLong(action.variant());
                case RESTART -> restart();
                case DRAIN -> exchange(action.variant() % 3 == 0, 0);
                case STOP -> stop();
                default -> exchange(false, action.variant());
            }
        }

        private void request(AttemptId id, int variant) {
            // A router requests an attempt once, over a connection that ends with the sidecar's
            // process. A request that reached one incarnation can't reach the next one.
            if (mTargetIncarnations.computeIfAbsent(id, i -> mIncarnation) != mIncarnation) {
                return;
            }
            AttemptRequest.Builder request =
                    Requests.request(id, target(id)).cost(Requests.outputCost(5000));
            if (variant % 3 == 0) {
                request.idempotent(false)
                        .idempotencyKey("key")
                        .outputKeepTime(Duration.ofMinutes(5));
            }
            mStreams.put(++mStreamCount, new StreamCheck(id, 0));
            step(new SidecarEvent.AttemptRequested(mStreamCount, request.build()));
        }

        private void resume(AttemptId id, int variant) {
            long offset = offset(variant);
            mStreams.put(++mStreamCount, new StreamCheck(id, offset));
            step(new SidecarEvent.AttemptResumed(mStreamCount, id, target(id), offset));
        }

        private long offset(int variant) {
            return variant % 2 == 0 ? 0 : variant % 40;
        }

        private void acknowledge(AttemptId id, int variant) {
            step(new SidecarEvent.OutputAcknowledged(id, variant % 40));
        }

        private void revoke(AttemptId id) {
            mRevokedAttempt = id;
            step(new SidecarEvent.AttemptRevoked(0, id, target(id)));
        }

        private void closeStream(int variant) {
            List<Long> open = new ArrayList<>(mStreams.keySet());
            if (!open.isEmpty()) {
                long stream = open.get(variant % open.size());
                mStreams.remove(stream);
                step(new SidecarEvent.StreamClosed(stream));
            }
        }

        private void stepEngine(AttemptId id, int variant) {
            SidecarEvent event = mEngine.perform(id, engineAction(variant));
            if (event != null) {
                if (!(event instanceof SidecarEvent.EngineHeadReceived
                        || event instanceof SidecarEvent.EngineDataReceived)) {
                    mRunning.remove(id);
                }
                step(event);
            }
        }

        private static FakeEngine.CallStep engineAction(int variant) {
            if (variant % 32 == 0) {
                return FakeEngine.CallStep.REFUSE_CONNECTION;
            }
            return variant % 32 == 1
                    ? FakeEngine.CallStep.BREAK_CONNECTION
                    : FakeEngine.CallStep.CONTINUE;
        }

        private void waitLong(int variant) {
            mNow = mNow.plus(LONG_WAITS[variant % LONG_WAITS.length]);
            step(new SidecarEvent.Tick());
        }

        private void restart() {
            mIncarnation++;
            mStopping = false;
            mDraining = false;
            mRunning.clear();
            mStreams.clear();
            mSidecar = newSidecar();
        }

        private void stop() {
            mStopping = true;
            step(new SidecarEvent.StopRequested());
        }

        private void exchange(boolean drain, double mean) {
            mDraining = drain;
            step(
                    new SidecarEvent.ExchangeAnswered(
                            new MembershipDelta(MembershipCursor.NONE, false, List.of()),
                            List.of(new ServiceLoad(Requests.SERVICE, mean, 3)),
                            true,
                            drain,
                            0));
        }

        private void step(SidecarEvent event) {
            mSidecar.step(mNow, event, this::checkEffect);
        }

        private void checkEffect(SidecarEffect effect) {
            if (effect instanceof SidecarEffect.StartEngineCall e) {
                AttemptId id = e.request().id();
                assertThat(mRefused)
                        .as("run after the attempt was reported as not run")
                        .doesNotContain(id);
                assertThat(mEngine.runCount(id)).as("earlier runs of %s", id).isZero();
                assertThat(mDraining || mStopping).as("start during a drain or a stop").isFalse();
                mRunning.add(id);
                mEngine.startCall(id);
            } else if (effect instanceof SidecarEffect.CancelEngineCall e) {
                mRunning.remove(e.attempt());
            } else if (effect instanceof SidecarEffect.Stopped) {
                assertThat(mRunning).as("attempts running when the stop is complete").isEmpty();
            } else if (effect instanceof SidecarEffect.AnswerRevoke e) {
                checkRevoke(e);
            } else if (effect instanceof SidecarEffect.SendFrame e) {
                checkFrame(e);
            } else if (effect instanceof SidecarEffect.CloseStream e) {
                mStreams.remove(e.stream());
            }
        }

        private void checkFrame(SidecarEffect.SendFrame e) {
            StreamCheck stream = mStreams.get(e.stream());
            assertThat(stream).as("a frame on a closed stream: %s", e).isNotNull();
            stream.onFrame(e.frame());
            if (e.frame().frame() instanceof Frame.Refused r) {
                assertThat(r.code().isNotRun()).isTrue();
                markRefused(e.frame().attempt());
            } else if (e.frame().frame() instanceof Frame.End
                    || e.frame().frame() instanceof Frame.Failed) {
                checkFinalFrame(e.frame().attempt(), e.frame().frame());
            }
        }

        /** Checks that an attempt has the same final frame on every stream. */
        private void checkFinalFrame(AttemptId id, Frame finalFrame) {
            boolean aboutStream =
                    finalFrame instanceof Frame.Failed f
                            && (f.code() == ResultCode.OUTPUT_NOT_KEPT
                                    || f.code() == ResultCode.OUTCOME_UNKNOWN);
            if (!aboutStream) {
                assertThat(mFinalFrames.putIfAbsent(id, finalFrame)).isIn(null, finalFrame);
            }
        }

        private void checkRevoke(SidecarEffect.AnswerRevoke e) {
            if (e.state() == AttemptState.NEVER_STARTED) {
                markRefused(mRevokedAttempt);
            }
        }

        private void markRefused(AttemptId id) {
            assertThat(mEngine.runCount(id))
                    .as("runs of %s, which is reported as not run", id)
                    .isZero();
            mRefused.add(id);
        }
    }
}
