package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.placement.BoundConfig;

/**
 * A backend server never runs more work than its bound, and the waiting queue stays within its
 * limits, during surges, with requests of very different cost and with an outdated mean load.
 */
class AdmissionBoundTest {
    private static final double BOUND_FACTOR = 1.25;
    private static final double BOUND_FLOOR = 500;
    private static final Duration QUEUE_AGE = Duration.ofSeconds(2);
    private static final long QUEUE_BYTES = 2_000;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final SidecarSettings SETTINGS =
            new SidecarSettings(
                    new BoundConfig(BOUND_FACTOR, 0, 1.1, BOUND_FLOOR, 0.1, 2),
                    new SidecarSettings.QueueLimits(5, QUEUE_BYTES, QUEUE_AGE),
                    SidecarSettings.DEFAULT.output(),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(500),
                    256,
                    1_000_000,
                    Set.of());

    private enum Kind {
        ARRIVE,
        END,
        MEAN_LOAD,
        ADVANCE
    }

    private record Action(Kind kind, int selector, int variant) {}

    @Property(tries = 1000, seed = "42002")
    void runningWorkQueueSizeAndWaitsStayWithinBounds(@ForAll("surges") List<Action> actions) {
        Simulation simulation = new Simulation();
        actions.forEach(simulation::perform);
    }

    @Provide
    Arbitrary<List<Action>> surges() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequency(
                        Tuple.of(8, Kind.ARRIVE),
                        Tuple.of(4, Kind.END),
                        Tuple.of(1, Kind.MEAN_LOAD),
                        Tuple.of(6, Kind.ADVANCE));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1 << 16);
        return Combinators.combine(kinds, numbers, numbers)
                .as(Action::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(150);
    }

    /** One sidecar, with the running work and the waiting attempts as the test counts them. */
    private static final class Simulation {
        private static final BackendRef SELF = new BackendRef("engine-1", 1);

        private final SidecarReducer mSidecar =
                new SidecarReducer(
                        new SidecarIdentity(
                                SELF, Requests.SERVICE, "bergen", "vestkyst", "10.0.0.1:1", 1));
        private final Map<AttemptId, Double> mRunningWork = new LinkedHashMap<>();
        private final Map<AttemptId, Instant> mWaitingSince = new HashMap<>();
        private final Map<AttemptId, Integer> mBodyBytes = new HashMap<>();
        private Instant mNow = Instant.parse("2026-12-02T10:00:00Z");
        private double mMean;
        private Instant mMeanTime = Instant.MIN;
        private long mCount;

        Simulation() {
            step(new SidecarEvent.SettingsChanged(SETTINGS));
            step(
                    new SidecarEvent.ExchangeAnswered(
                            new MembershipDelta(
                                    MembershipCursor.NONE, true, SidecarDriver.members(3)),
                            List.of(),
                            true,
                            false,
                            0));
        }

        void perform(Action action) {
            switch (action.kind()) {
                case ARRIVE -> arrive(action.selector(), action.variant());
                case END -> end(action.selector());
                case MEAN_LOAD -> setMean(action.variant() % 2000);
                default -> advance(action.variant() % 60);
            }
        }

        private void arrive(int selector, int variant) {
            AttemptId id = Requests.id(++mCount);
            // Some requests cost many times as much as the others.
            int tokens = variant % 8 == 0 ? 50 + variant % 3000 : 1 + variant % 200;
            AttemptRequest.Builder request =
                    Requests.request(mCount)
                            .account("account-" + selector % 4, 1 + selector % 3)
                            .priority(selector % 2)
                            .call(Requests.call(variant % 900))
                            .redirects(selector % 3)
                            .timeLeft(Duration.ofMillis(100L + variant % 10_000))
                            .cost(Requests.outputCost(tokens));
            mWaitingSince.put(id, mNow);
            mBodyBytes.put(id, variant % 900);
            step(new SidecarEvent.AttemptRequested(mCount, request.build()));
            checkQueue();
        }

        private void end(int selector) {
            List<AttemptId> running = new ArrayList<>(mRunningWork.keySet());
            if (!running.isEmpty()) {
                AttemptId id = running.get(selector % running.size());
                mRunningWork.remove(id);
                step(new SidecarEvent.EngineHeadReceived(id, 200, List.of()));
                step(new SidecarEvent.EngineFinished(id, Frame.Usage.NONE));
            }
        }

        private void setMean(double mean) {
            mMean = mean;
            mMeanTime = mNow;
            step(
                    new SidecarEvent.ExchangeAnswered(
                            new MembershipDelta(MembershipCursor.NONE, false, List.of()),
                            List.of(new ServiceLoad(Requests.SERVICE, mean, 3)),
                            true,
                            false,
                            0));
        }

        private void advance(int ticks) {
            for (int i = 0; i < ticks; i++) {
                mNow = mNow.plus(TICK);
                step(new SidecarEvent.Tick());
                checkWaits();
            }
        }

        private void step(SidecarEvent event) {
            mSidecar.step(mNow, event, this::checkEffect);
        }

        private void checkEffect(SidecarEffect effect) {
            if (effect instanceof SidecarEffect.StartEngineCall e) {
                double work = Math.max(1, e.request().cost().outputTokens());
                checkBound(work);
                mRunningWork.put(e.request().id(), work);
                mWaitingSince.remove(e.request().id());
            } else if (effect instanceof SidecarEffect.SendFrame f) {
                if (f.frame().frame() instanceof Frame.Refused) {
                    mWaitingSince.remove(f.frame().attempt());
                } else if (f.frame().frame() instanceof Frame.Failed) {
                    mRunningWork.remove(f.frame().attempt());
                }
            }
        }

        private void checkBound(double work) {
            double runningWork = mRunningWork.values().stream().mapToDouble(w -> w).sum();
            boolean meanKnown =
                    mMeanTime != Instant.MIN && !mMeanTime.plusSeconds(10).isBefore(mNow);
            double bound = Math.max(BOUND_FACTOR * (meanKnown ? mMean : 0), BOUND_FLOOR);
            if (runningWork > 0) {
                assertThat(runningWork + work).as("running work").isLessThanOrEqualTo(bound + 1e-6);
            }
        }

        private void checkQueue() {
            assertThat(mWaitingSince.size()).as("waiting").isLessThanOrEqualTo(5);
            long bytes = mWaitingSince.keySet().stream().mapToLong(mBodyBytes::get).sum();
            assertThat(bytes).as("bytes waiting").isLessThanOrEqualTo(QUEUE_BYTES);
        }

        private void checkWaits() {
            mWaitingSince.forEach(
                    (id, since) ->
                            assertThat(Duration.between(since, mNow))
                                    .as("wait of %s", id)
                                    .isLessThan(QUEUE_AGE.plus(TICK)));
        }
    }
}
