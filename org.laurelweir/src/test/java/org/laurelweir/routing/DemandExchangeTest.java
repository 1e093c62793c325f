package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.contention.MeanDemand;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.quarantine.CrashDelta;

/** Tests the demand in a router's exchanges, and the lines in its log about the sums. */
class DemandExchangeTest {
    private static final Duration INTERVAL = Duration.ofMillis(300);
    private static final ContentionDigest DIGEST =
            new ContentionDigest(1, List.of(new MeanDemand("svc", 5)), List.of(), List.of(), 0, 0);

    private final RouterReducer mReducer =
            new RouterReducer(new RouterConfig("r", 1, 1, INTERVAL, 16));
    private final List<String> mCodes = new ArrayList<>();
    private final List<ContentionReport> mReports = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;

    private void step(RouterEvent event) {
        mReducer.step(mNow, event, this::onEffect);
    }

    private void onEffect(RouterEffect effect) {
        if (effect instanceof RouterEffect.SendExchange e) {
            mReports.add(e.contention());
        } else if (effect instanceof RouterEffect.LogDecision e) {
            mCodes.add(e.decision().choice());
        }
    }

    private void exchange(ContentionDigest digest) {
        mNow = mNow.plus(INTERVAL);
        step(new RouterEvent.Tick());
        step(
                new RouterEvent.ExchangeAnswered(
                        new MembershipDelta(new MembershipCursor("c", 1, 1), true, List.of()),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        List.of(),
                        1,
                        PlacementRules.NONE,
                        digest));
        step(new RouterEvent.Tick());
    }

    private void advanceWithoutControl(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plusMillis(100);
            step(new RouterEvent.Tick());
            step(new RouterEvent.ExchangeFailed("no answer"));
        }
    }

    private long count(String code) {
        return mCodes.stream().filter(code::equals).count();
    }

    // Guards against a report or a line in the log in deployments that are not contended.
    @Test
    void routerWithoutDemandReportsAndLogsNothing() {
        for (int i = 0; i < 20; i++) {
            exchange(ContentionDigest.NONE);
        }
        advanceWithoutControl(Duration.ofSeconds(5));
        assertThat(mReports).hasSizeGreaterThan(20).containsOnly(ContentionReport.NONE);
        assertThat(mCodes).noneMatch(c -> c.startsWith("DEMAND"));
    }

    // Guards against a change of the numbers that decide which no line in the log tells, or many.
    @Test
    void oneLineTellsThatSumsAreLostAndOneThatTheyAreBack() {
        exchange(DIGEST);
        exchange(DIGEST);
        assertThat(count("DEMAND_TOLD")).isEqualTo(1);
        advanceWithoutControl(Duration.ofMillis(2_600));
        assertThat(count("DEMAND_NOT_TOLD")).isZero();
        advanceWithoutControl(Duration.ofMillis(2_000));
        assertThat(count("DEMAND_NOT_TOLD")).isEqualTo(1);
        exchange(DIGEST);
        exchange(DIGEST);
        assertThat(count("DEMAND_TOLD")).isEqualTo(2);
        assertThat(count("DEMAND_NOT_TOLD")).isEqualTo(1);
    }
}
