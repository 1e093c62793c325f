package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.coordination.CommandResult.FenceResult;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.routing.RequestPolicy;
import org.laurelweir.settings.SettingKeys;

/** Tests the state machine of the log: claims, fencing tokens and drain orders. */
class ControlStateTest {
    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final BackendRef TARGET = new BackendRef("w1", 1);
    private static final AttemptId FIRST = new AttemptId("r1", 1, 1, 1);
    private static final AttemptId SECOND = new AttemptId("r2", 1, 1, 1);
    private static final AttemptId THIRD = new AttemptId("r3", 1, 1, 1);

    private final ControlState mState =
            new ControlState(
                    new ControlState.Limits(
                            ControlState.Limits.DEFAULT.settings(), 2, Duration.ofHours(1)));
    private long mIndex;

    private ClaimResult claim(long second, String key, AttemptId attempt, AttemptId replaces) {
        return claim(second, key, attempt, replaces, 7);
    }

    private ClaimResult claim(
            long second, String key, AttemptId attempt, AttemptId replaces, long fingerprint) {
        Command.Claim c =
                new Command.Claim(
                        Instant.ofEpochSecond(second),
                        "account",
                        key,
                        "service",
                        fingerprint,
                        attempt,
                        TARGET,
                        replaces,
                        RETENTION);
        return (ClaimResult) mState.apply(++mIndex, c);
    }

    private void settle(long second, AttemptId attempt, ResultCode code) {
        mState.apply(
                ++mIndex,
                new Command.SettleClaim(
                        Instant.ofEpochSecond(second), "account", "key", attempt, code));
    }

    private long issueFence(String backend) {
        Command c = new Command.IssueFence(Instant.EPOCH, backend);
        return ((FenceResult) mState.apply(++mIndex, c)).fence();
    }

    @Test
    void secondAttemptGetsFirstAsHolder() {
        claim(1, "key", FIRST, null);
        assertThat(claim(2, "key", SECOND, null).holder()).isEqualTo(FIRST);
        settle(3, FIRST, ResultCode.OK);
        ClaimResult r = claim(4, "key", SECOND, null);
        assertThat(r.settled()).isTrue();
        assertThat(r.settledCode()).isEqualTo(ResultCode.OK);
    }

    @Test
    void rejectsKeyReusedForAnotherRequest() {
        claim(1, "key", FIRST, null);
        assertThat(claim(2, "key", SECOND, null, 8).code())
                .isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
    }

    // Guards against two attempts that run under one key. Two routers both find that the first
    // attempt never started, and both try to replace it. The second one names a holder that is
    // already replaced, and gets the new holder as its answer.
    @Test
    void onlyOneOfTwoAttemptsReplacesHolder() {
        claim(1, "key", FIRST, null);
        assertThat(claim(2, "key", SECOND, FIRST).holder()).isEqualTo(SECOND);
        assertThat(claim(3, "key", THIRD, FIRST).holder()).isEqualTo(SECOND);
    }

    // Guards against a late settle command: a router settles its attempt after another attempt has
    // replaced it. This must not change the claim of the current holder.
    @Test
    void ignoresSettleOfReplacedHolder() {
        claim(1, "key", FIRST, null);
        claim(2, "key", SECOND, FIRST);
        settle(3, FIRST, ResultCode.REVOKED);
        ClaimResult r = claim(4, "key", THIRD, null);
        assertThat(r.holder()).isEqualTo(SECOND);
        assertThat(r.settled()).isFalse();
    }

    @Test
    void doesNotReplaceSettledHolder() {
        claim(1, "key", FIRST, null);
        settle(2, FIRST, ResultCode.OUTCOME_UNKNOWN);
        assertThat(claim(3, "key", SECOND, FIRST).holder()).isEqualTo(FIRST);
    }

    @Test
    void holderThatWasNotRunReleasesKey() {
        claim(1, "key", FIRST, null);
        settle(2, FIRST, ResultCode.OVERLOADED);
        assertThat(claim(3, "key", SECOND, null).holder()).isEqualTo(SECOND);
    }

    // Guards against claims that expire early or twice when a new leader's clock is far behind its
    // predecessor's. The log's time must not go back meanwhile.
    @Test
    void logTimeNeverDecreases() {
        claim(10_000, "key", FIRST, null);
        assertThat(claim(1, "key", SECOND, null).holder()).isEqualTo(FIRST);
        long end = 10_000 + RETENTION.toSeconds();
        assertThat(claim(end, "key", SECOND, null).holder()).isEqualTo(FIRST);
        assertThat(claim(end + 1, "key", SECOND, null).holder()).isEqualTo(SECOND);
    }

    @Test
    void fullTableRejectsOnlyNewKeys() {
        claim(1, "key", FIRST, null);
        claim(1, "other", FIRST, null);
        assertThat(claim(2, "third", FIRST, null).code()).isEqualTo(ResultCode.CLAIM_UNAVAILABLE);
        assertThat(claim(2, "key", SECOND, null).holder()).isEqualTo(FIRST);
    }

    // A caller that retries within the default retention must find its claim, even if 10% of the
    // 11,000 requests a second at peak are not idempotent. The table is then at most half full.
    @Test
    void defaultRetentionFitsMaxClaims() {
        Duration retention = SettingKeys.CLAIM_RETENTION.defaultValue();
        assertThat(retention).isEqualTo(RequestPolicy.DEFAULT.claimRetention());
        ControlState.Limits limits = ControlState.Limits.DEFAULT;
        assertThat(2 * 1_100 * retention.toSeconds()).isLessThanOrEqualTo(limits.maxClaims());
        assertThat(limits.maxRetention()).isEqualTo(Duration.ofDays(7));
    }

    @Test
    void fencingTokensRisePerBackendServer() {
        assertThat(List.of(issueFence("w1"), issueFence("w1"), issueFence("w2")))
                .containsExactly(1L, 2L, 1L);
    }

    private void drainDataCentre(String name, boolean drain, String author) {
        mState.apply(++mIndex, new Command.DrainDataCentre(Instant.EPOCH, name, drain, author));
    }

    // Guards against a late copy of an acknowledged order that changes who gave it and when, or
    // that makes routers apply an unchanged set again.
    @Test
    void repeatedDrainOfADataCentreChangesNothing() {
        drainDataCentre("bergen", true, "ann");
        drainDataCentre("bergen", true, "bo");
        drainDataCentre("askoy", false, "bo");
        assertThat(mState.dataCentreDrains())
                .containsExactly(new DataCentreDrain("bergen", "ann", Instant.EPOCH));
        assertThat(mState.drainedDataCentres().position()).isEqualTo(1);
    }

    @Test
    void lastOrderInTheLogDecidesOnADataCentre() {
        drainDataCentre("bergen", true, "ann");
        drainDataCentre("askoy", true, "ann");
        drainDataCentre("bergen", false, "bo");
        assertThat(mState.drainedDataCentres())
                .isEqualTo(new DrainedDataCentres(3, List.of("askoy")));
    }

    // Guards against losing the orders about data centres when the log is compacted.
    @Test
    void snapshotContainsDrainedDataCentres() {
        drainDataCentre("bergen", true, "ann");
        drainDataCentre("askoy", true, "ann");
        ControlState restored = new ControlState(ControlState.Limits.DEFAULT);
        restored.restore(mState.snapshot());
        assertThat(restored.snapshot()).isEqualTo(mState.snapshot());
        assertThat(restored.drainedDataCentres()).isEqualTo(mState.drainedDataCentres());
    }

    @Test
    void snapshotContainsWholeState() {
        claim(1, "key", FIRST, null);
        issueFence("w1");
        mState.apply(++mIndex, new Command.Drain(Instant.EPOCH, "w1", true, "operator"));
        Command.NodeChange change =
                new Command.NodeChange("/service=seilhjerne", 0, Map.of(), List.of(), false);
        mState.apply(
                ++mIndex,
                new Command.ChangeSettings(Instant.EPOCH, "id", "operator", List.of(change)));
        ControlState.Snapshot snapshot = mState.snapshot();
        ControlState restored = new ControlState(ControlState.Limits.DEFAULT);
        restored.restore(snapshot);
        assertThat(restored.snapshot()).isEqualTo(snapshot);
        assertThat(restored.isDrainOrdered("w1")).isTrue();
        assertThat(restored.highestFence("w1")).isEqualTo(1);
    }
}
