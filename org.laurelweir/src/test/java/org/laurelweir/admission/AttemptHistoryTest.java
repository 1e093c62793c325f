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
 * Any order of messages, also late, repeated and crossed ones, drains, stops and restarts, against
 * the engine's own record of what ran.
 */
class AttemptHistoryTest {
    private enum Kind {
        BEGIN,
        RESUME,
        ACKNOWLEDGE,
        CANCEL,
        REVOKE,
        CLOSE_STREAM,
        ENGINE,
        TICK,
        WAIT_LONG,
        RESTART,
        DRAIN,
        STOP,
        MEAN
    }

    /** One thing that happens; the numbers choose among what there is. */
    private record Action(Kind kind, int selector, int variant) {}

    @Property(tries = 3000, seed = "42001")
    void attemptsRunAtMostOnceAndAnswersAreComplete(@ForAll("histories") List<Action> happenings) {
        Simulation world = new Simulation();
        happenings.forEach(world::perform);
    }

    @Provide
    Arbitrary<List<Action>> histories() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequency(
                        Tuple.of(8, Kind.BEGIN),
                        Tuple.of(5, Kind.RESUME),
                        Tuple.of(3, Kind.ACKNOWLEDGE),
                        Tuple.of(1, Kind.CANCEL),
                        Tuple.of(3, Kind.REVOKE),
                        Tuple.of(2, Kind.CLOSE_STREAM),
                        Tuple.of(24, Kind.ENGINE),
                        Tuple.of(4, Kind.TICK),
                        Tuple.of(2, Kind.WAIT_LONG),
                        Tuple.of(1, Kind.RESTART),
                        Tuple.of(1, Kind.DRAIN),
                        Tuple.of(1, Kind.STOP),
                        Tuple.of(1, Kind.MEAN));
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
        private final Map<AttemptId, Long> mRequestedIn = new HashMap<>();
        private final Set<AttemptId> mRunning = new HashSet<>();
        private boolean mDraining;
        private boolean mStopping;
        private Instant mNow = Instant.parse("2026-12-02T10:00:00Z");
        private long mIncarnation = 1;
        private SidecarReducer mSidecar = sidecar();
        private long mStreamCount;
        private AttemptId mRevokedAttempt;

        private SidecarReducer sidecar() {
            return new SidecarReducer(
                    new SidecarIdentity(self(), Requests.SERVICE, "bergen", "vestkyst", "a", 1));
        }

        private BackendRef self() {
            return new BackendRef("engine-1", mIncarnation);
        }

        private AttemptId attempt(int which) {
            return new AttemptId(
                    "router-1",
                    1,
                    which % REQUEST_COUNT,
                    1 + which / REQUEST_COUNT % ATTEMPTS_PER_REQUEST);
        }

        /** Each attempt was sent to one run of the sidecar, as routers do. */
        private BackendRef target(AttemptId id) {
            return new BackendRef("engine-1", id.attempt());
        }

        void perform(Action h) {
            mNow = mNow.plusMillis(h.variant() % 200);
            AttemptId id = attempt(h.selector());
            switch (h.kind()) {
                case BEGIN -> begin(id, h.variant());
                case RESUME -> resume(id, h.variant());
                case ACKNOWLEDGE -> acknowledge(id, h.variant());
                case CANCEL -> step(new SidecarEvent.AttemptCancelled(id));
                case REVOKE -> revoke(id);
                case CLOSE_STREAM -> closeStream(h.variant());
                case ENGINE -> engine(id, h.variant());
                case TICK -> step(new SidecarEvent.Tick());
                case WAIT_LONG -> waitLong(h.variant());
                case RESTART -> restart();
                case DRAIN -> exchange(h.variant() % 3 == 0, 0);
                case STOP -> stop();
                default -> exchange(false, h.variant());
            }
        }

        private void begin(AttemptId id, int how) {
            // A router begins an attempt once, and the connection that carries the message ends
            // with the sidecar's run: what reached one run can't reach the next one.
            if (mRequestedIn.computeIfAbsent(id, i -> mIncarnation) != mIncarnation) {
                return;
            }
            AttemptRequest.Builder request =
                    Requests.request(id, target(id)).cost(Requests.outputCost(5000));
            if (how % 3 == 0) {
                request.idempotent(false)
                        .idempotencyKey("key")
                        .outputKeepTime(Duration.ofMinutes(5));
            }
            mStreams.put(++mStreamCount, new StreamCheck(id, 0));
            step(new SidecarEvent.AttemptRequested(mStreamCount, request.build()));
        }

        private void resume(AttemptId id, int how) {
            long offset = offset(how);
            mStreams.put(++mStreamCount, new StreamCheck(id, offset));
            step(new SidecarEvent.AttemptResumed(mStreamCount, id, target(id), offset));
        }

        private long offset(int how) {
            return how % 2 == 0 ? 0 : how % 40;
        }

        private void acknowledge(AttemptId id, int how) {
            step(new SidecarEvent.OutputAcknowledged(id, how % 40));
        }

        private void revoke(AttemptId id) {
            mRevokedAttempt = id;
            step(new SidecarEvent.AttemptRevoked(0, id, target(id)));
        }

        private void closeStream(int how) {
            List<Long> open = new ArrayList<>(mStreams.keySet());
            if (!open.isEmpty()) {
                long stream = open.get(how % open.size());
                mStreams.remove(stream);
                step(new SidecarEvent.StreamClosed(stream));
            }
        }

        private void engine(AttemptId id, int how) {
            SidecarEvent event = mEngine.perform(id, engineAction(how));
            if (event != null) {
                if (!(event instanceof SidecarEvent.EngineHeadReceived
                        || event instanceof SidecarEvent.EngineDataReceived)) {
                    mRunning.remove(id);
                }
                step(event);
            }
        }

        private static FakeEngine.CallStep engineAction(int how) {
            if (how % 32 == 0) {
                return FakeEngine.CallStep.REFUSE_CONNECTION;
            }
            return how % 32 == 1
                    ? FakeEngine.CallStep.BREAK_CONNECTION
                    : FakeEngine.CallStep.CONTINUE;
        }

        private void waitLong(int how) {
            mNow = mNow.plus(LONG_WAITS[how % LONG_WAITS.length]);
            step(new SidecarEvent.Tick());
        }

        private void restart() {
            mIncarnation++;
            mStopping = false;
            mDraining = false;
            mRunning.clear();
            mStreams.clear();
            mSidecar = sidecar();
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
                assertThat(mRefused).as("run after denial").doesNotContain(id);
                assertThat(mEngine.runCount(id)).as("runs of %s before", id).isZero();
                assertThat(mDraining || mStopping).as("start while leaving").isFalse();
                mRunning.add(id);
                mEngine.startCall(id);
            } else if (effect instanceof SidecarEffect.CancelEngineCall e) {
                mRunning.remove(e.attempt());
            } else if (effect instanceof SidecarEffect.Stopped) {
                assertThat(mRunning).as("running at the end of a stop").isEmpty();
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

        /** An attempt has one ending, whichever stream it goes out on. */
        private void checkFinalFrame(AttemptId id, Frame ending) {
            boolean aboutStream =
                    ending instanceof Frame.Failed f
                            && (f.code() == ResultCode.OUTPUT_NOT_KEPT
                                    || f.code() == ResultCode.OUTCOME_UNKNOWN);
            if (!aboutStream) {
                assertThat(mFinalFrames.putIfAbsent(id, ending)).isIn(null, ending);
            }
        }

        private void checkRevoke(SidecarEffect.AnswerRevoke e) {
            if (e.state() == AttemptState.NEVER_STARTED) {
                markRefused(mRevokedAttempt);
            }
        }

        private void markRefused(AttemptId id) {
            assertThat(mEngine.runCount(id)).as("runs of %s, denied", id).isZero();
            mRefused.add(id);
        }
    }
}
