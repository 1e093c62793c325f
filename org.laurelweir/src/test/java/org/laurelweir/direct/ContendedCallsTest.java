package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.INVALID;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.MeanLoad;
import org.laurelweir.quarantine.CrashTable;

/** Tests the demand that a router records over the calls of its requests. */
class ContendedCallsTest {
    private static final long SEED = 5;
    private static final int REQUEST_COUNT = 2000;

    private final ContendedFixture mFleet = new ContendedFixture(5, 16, SEED);
    private final List<DirectEffect> mEffects = new ArrayList<>();
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final DirectRouting mRouting = routing(0);

    private DirectRouting routing(double hedgeShare) {
        return new DirectRouting(
                mFleet,
                () -> 1,
                DirectRoutingDriver.LIMITS,
                new CrashTable("r", (record, quarantined) -> {}),
                mFleet.mLoads,
                new SlowStartLimiter(),
                AnswerLimits.DEFAULT,
                SEED,
                mFleet.mDemand,
                hedgeShare);
    }

    private void step(DirectEvent event) {
        mRouting.step(mFleet.mNow, event, mEffects::add);
    }

    private void arrive(int caller) {
        boolean repeatable = mRandom.nextBoolean();
        Route route = ContendedFixture.route(repeatable, mRandom.nextInt(4) > 0, 100);
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST", "/x" + caller, List.of(), new byte[0], route.streamed());
        Prompt prompt =
                route.streamed()
                        ? ContendedFixture.prompt(1 + mRandom.nextInt(9), 2000, 100)
                        : Prompt.NONE;
        RoutedRequest request =
                new RoutedRequest("id", route, "acc", 5, Duration.ofSeconds(10), call, prompt);
        step(new DirectEvent.RequestArrived(caller, request.withTerms(ContendedFixture.TERMS)));
    }

    private void answer(long call) {
        int kind = mRandom.nextInt(10);
        if (kind == 0) {
            step(new DirectEvent.HeadReceived(call, 503, List.of(), NOT_RUN));
        } else if (kind == 1) {
            step(new DirectEvent.HeadReceived(call, 500, List.of(), GENUINE));
        } else if (kind == 2) {
            step(new DirectEvent.HeadReceived(call, 200, List.of(), INVALID));
        } else if (kind == 3) {
            step(new DirectEvent.Failed(call, DirectEvent.Failure.NOT_SENT, "refused"));
        } else if (kind < 8) {
            step(new DirectEvent.HeadReceived(call, 200, List.of(), GENUINE));
            byte[] event = "id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
            step(new DirectEvent.DataReceived(call, event));
        }
        if (mRandom.nextInt(3) > 0) {
            step(new DirectEvent.Finished(call));
        }
    }

    // Guards against tokens that stay recorded after a request that failed, stalled, moved to
    // another server or lost its caller: they would keep requests away from a free server.
    @Test
    void noTokensStayRecordedOnceAllRequestsHaveEnded() {
        double most = 0;
        for (int i = 1; i <= REQUEST_COUNT; i++) {
            arrive(i);
            List<BeginCall> calls = calls();
            answer(calls.get(Math.max(0, calls.size() - 1 - mRandom.nextInt(3))).call());
            if (mRandom.nextInt(10) == 0) {
                step(new DirectEvent.CallerGone(Math.max(1, i - mRandom.nextInt(5))));
            }
            most = Math.max(most, mFleet.mDemand.accountTokens(mFleet.mNow, "acc"));
            advance(mRandom.nextInt(60));
        }
        assertThat(most).isGreaterThan(2000);
        for (int i = 0; i < 1200; i++) {
            advance(10);
        }
        assertThat(mRouting.isIdle()).isTrue();
        System.out.printf("seed %d: at most %.0f tokens recorded%n", SEED, most);
        assertThat(mFleet.mDemand.accountTokens(mFleet.mNow, "acc")).isZero();
        for (int i = 0; i < 5; i++) {
            assertThat(
                            mFleet.mDemand.tokens(
                                    mFleet.mNow,
                                    ContendedFixture.SERVICE,
                                    mFleet.backend("s" + i).ref()))
                    .isZero();
        }
    }

    // Guards against copies whose tokens no router knows of, and that stay recorded after their
    // end.
    @Test
    void tokensOfACopyAreRecordedFromItsStartToItsEnd() {
        MeanLoad mean = new MeanLoad(ContendedFixture.SERVICE, 1);
        mFleet.mLoads.report(mFleet.mNow);
        mFleet.mLoads.onDigest(
                new LoadDigest(1, List.of(mean), List.of(), List.of()),
                1,
                ref -> ContendedFixture.SERVICE);
        DirectRouting routing = routing(1);
        RequestTerms terms = new RequestTerms(true, 1, 0, Map.of());
        RoutedRequest request =
                mFleet.request(
                                ContendedFixture.stream(100),
                                ContendedFixture.prompt(1, 2000, 100),
                                terms)
                        .mRequest;
        routing.step(mFleet.mNow, new DirectEvent.RequestArrived(1, request), mEffects::add);
        double single = accountTokens();
        assertThat(single).isGreaterThan(2000);
        mFleet.mNow = mFleet.mNow.plusMillis(51);
        routing.step(mFleet.mNow, new DirectEvent.Tick(), mEffects::add);
        assertThat(calls()).hasSize(2);
        assertThat(accountTokens()).isEqualTo(2 * single);
        BeginCall copy = calls().get(1);
        DirectEvent head = new DirectEvent.HeadReceived(copy.call(), 200, List.of(), GENUINE);
        routing.step(mFleet.mNow, head, mEffects::add);
        assertThat(accountTokens()).isEqualTo(single);
        assertThat(mFleet.mDemand.tokens(mFleet.mNow, ContendedFixture.SERVICE, copy.backend()))
                .isEqualTo(single);
        routing.step(mFleet.mNow, new DirectEvent.CallerGone(1), mEffects::add);
        assertThat(accountTokens()).isZero();
    }

    private double accountTokens() {
        return mFleet.mDemand.accountTokens(mFleet.mNow, "acc");
    }

    private List<BeginCall> calls() {
        return mEffects.stream()
                .filter(BeginCall.class::isInstance)
                .map(BeginCall.class::cast)
                .toList();
    }

    private void advance(int millis) {
        mFleet.mNow = mFleet.mNow.plusMillis(millis);
        step(new DirectEvent.Tick());
        List<BeginCall> calls = calls();
        mEffects.clear();
        mEffects.addAll(calls.subList(Math.max(0, calls.size() - 5), calls.size()));
    }
}
