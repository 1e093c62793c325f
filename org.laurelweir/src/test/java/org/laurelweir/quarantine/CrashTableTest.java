package org.laurelweir.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests the crash records of one process, and the exchange of records between processes. */
class CrashTableTest {
    private static final RequestKey KEY = new RequestKey("acme", 7);
    private static final Instant START = Instant.EPOCH;
    private static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(10);

    private final List<Boolean> mQuarantineChanges = new ArrayList<>();
    private final CrashTable mTable =
            new CrashTable("r1", (r, quarantined) -> mQuarantineChanges.add(quarantined));
    private Instant mNow = START;

    private static BackendRef server(int number) {
        return new BackendRef("s" + number, number);
    }

    private static CrashTable table(String name) {
        return new CrashTable(name, (record, quarantined) -> {});
    }

    private void crash(int server) {
        mTable.onCrash(mNow, KEY, "svc", server(server));
    }

    private void quarantine() {
        crash(1);
        crash(2);
        crash(3);
    }

    private static void sendAll(Instant now, CrashTable from, CrashTable to) {
        to.merge(now, from.since(now, 0).records());
    }

    @Test
    void crashesOfThreeServersQuarantineARequest() {
        crash(1);
        assertThat(mTable.isSuspect(KEY)).isTrue();
        crash(1);
        crash(1);
        crash(2);
        assertThat(mTable.isQuarantined(KEY)).isFalse();
        crash(3);
        assertThat(mTable.isQuarantined(KEY)).isTrue();
        assertThat(mTable.isQuarantined(new RequestKey("other", 7))).isFalse();
        assertThat(mTable.isQuarantined(new RequestKey("acme", 8))).isFalse();
        assertThat(mQuarantineChanges).containsExactly(true);
    }

    // Guards against quarantining a request that is often interrupted by crashes and often served.
    @Test
    void requestServedBetweenCrashesIsNotQuarantined() {
        for (int i = 1; i < 100; i++) {
            crash(i);
            crash(100 + i);
            mTable.excuseAll(mNow, KEY);
        }
        assertThat(mTable.isSuspect(KEY)).isFalse();
        assertThat(mQuarantineChanges).isEmpty();
    }

    // A lost connection looks like a crash although the server is still running.
    @Test
    void answerAfterASupposedCrashExcusesIt() {
        quarantine();
        mTable.onAnswer(mNow.plusMillis(2), server(2), mNow.plusMillis(1));
        assertThat(mTable.isQuarantined(KEY)).isFalse();
        assertThat(mQuarantineChanges).containsExactly(true, false);
    }

    @Test
    void answerToAnEarlierRequestExcusesNothing() {
        quarantine();
        mTable.onAnswer(mNow.plusMillis(2), server(2), mNow);
        mTable.onAnswer(mNow.plusMillis(2), new BackendRef("s2", 99), mNow.plusMillis(1));
        assertThat(mTable.isQuarantined(KEY)).isTrue();
    }

    // Guards against excusing a crash because of answers that the restarted server sends.
    @Test
    void answerOfARestartedServerExcusesNothing() {
        quarantine();
        Instant restarted = mNow.plusMillis(2500);
        mTable.onAnswer(restarted.plusMillis(50), server(2), restarted);
        assertThat(mTable.isQuarantined(KEY)).isTrue();
    }

    // Guards against a late message that undoes an excuse.
    @Test
    void excusedCrashStaysExcused() {
        quarantine();
        List<CrashRecord> late = mTable.since(mNow, 0).records();
        mTable.excuseAll(mNow, KEY);
        mTable.merge(mNow, late);
        assertThat(mTable.isSuspect(KEY)).isFalse();
    }

    @Test
    void deltaHasOnlyChangedRecords() {
        quarantine();
        long version = mTable.since(mNow, 0).version();
        assertThat(mTable.since(mNow, version).records()).isEmpty();
        assertThat(mTable.merge(mNow, mTable.since(mNow, 0).records())).isFalse();
        mTable.excuseAll(mNow, KEY);
        assertThat(mTable.since(mNow, version).records()).hasSize(1);
    }

    // Guards against messages that grow with the number of requests after many crashes at once.
    @Test
    void deltaIsBounded() {
        for (int i = 0; i < 150; i++) {
            mTable.onCrash(mNow, new RequestKey("a" + i, i), "svc", server(1));
        }
        CrashTable reader = table("c1");
        long seen = 0;
        while (seen < mTable.version()) {
            CrashDelta delta = mTable.since(mNow, seen);
            assertThat(delta.records())
                    .hasSizeLessThanOrEqualTo(CrashTable.MAX_RECORDS_PER_MESSAGE);
            reader.merge(mNow, delta.records());
            seen = delta.version();
        }
        assertThat(seen).isEqualTo(mTable.version());
        assertThat(reader.isSuspect(new RequestKey("a0", 0))).isTrue();
        assertThat(reader.isSuspect(new RequestKey("a149", 149))).isTrue();
    }

    // Guards against an account whose many requests evict the records of another account.
    @Test
    void accountCannotEvictRecordsOfAnother() {
        quarantine();
        for (int i = 0; i < 5 * CrashTable.MAX_REQUESTS; i++) {
            mTable.onCrash(mNow, new RequestKey("flood", i), "svc", server(i));
        }
        assertThat(mTable.isQuarantined(KEY)).isTrue();
        assertThat(mTable.isSuspect(new RequestKey("flood", 0))).isFalse();
    }

    @Test
    void leastSuspectRequestsAreEvictedFirst() {
        quarantine();
        for (int i = 0; i < 2 * CrashTable.MAX_REQUESTS; i++) {
            mTable.onCrash(mNow, new RequestKey("a" + i, i), "svc", server(i));
        }
        assertThat(mTable.isQuarantined(KEY)).isTrue();
    }

    @Test
    void unrelatedCrashesExpire() {
        crash(1);
        crash(2);
        mNow = mNow.plus(Duration.ofMinutes(11));
        mTable.expire(mNow);
        assertThat(mTable.isEmpty()).isTrue();
        crash(3);
        assertThat(mTable.isQuarantined(KEY)).isFalse();
    }

    @Test
    void quarantineLastsForADay() {
        quarantine();
        mNow = mNow.plus(Duration.ofHours(23));
        mTable.expire(mNow);
        assertThat(mTable.isQuarantined(KEY)).isTrue();
        mNow = mNow.plus(Duration.ofHours(2));
        mTable.expire(mNow);
        assertThat(mTable.isEmpty()).isTrue();
        assertThat(mQuarantineChanges).containsExactly(true, false);
    }

    // Guards against servers whose repair stays unnoticed, and against trials of every router that
    // crash one more server each.
    @Test
    void onlyTheRouterThatSawTheLastCrashMakesTrials() {
        CrashTable second = table("r2");
        mTable.onCrash(mNow, KEY, "svc", server(1));
        mTable.onCrash(mNow, KEY, "svc", server(2));
        sendAll(mNow, mTable, second);
        second.onCrash(mNow.plusMillis(5), KEY, "svc", server(3));
        sendAll(mNow.plusMillis(9), second, mTable);
        mNow = mNow.plus(FIRST_TRIAL_DELAY).plusSeconds(1);
        assertThat(mTable.takeTrial(mNow, KEY)).isFalse();
        assertThat(second.takeTrial(mNow, KEY)).isTrue();
        assertThat(second.takeTrial(mNow.plusSeconds(1), KEY)).isFalse();
    }

    @Test
    void trialsStopAfterThree() {
        quarantine();
        int trials = 0;
        for (int minute = 0; minute < 12 * 60; minute++) {
            mNow = mNow.plus(Duration.ofMinutes(1));
            mTable.expire(mNow);
            if (mTable.takeTrial(mNow, KEY)) {
                trials++;
                mTable.onCrash(mNow, KEY, "svc", server(3 + trials));
            }
        }
        assertThat(trials).isEqualTo(3);
    }

    @Test
    void servedTrialReleasesTheRequestEverywhere() {
        quarantine();
        CrashTable second = table("r2");
        sendAll(mNow, mTable, second);
        mNow = mNow.plus(FIRST_TRIAL_DELAY).plusSeconds(1);
        assertThat(mTable.takeTrial(mNow, KEY)).isTrue();
        mTable.excuseAll(mNow, KEY);
        sendAll(mNow, mTable, second);
        assertThat(second.isQuarantined(KEY)).isFalse();
    }

    // Guards against processes that disagree after receiving the same messages in different orders.
    @Property(tries = 300, seed = "3301")
    void processesThatExchangedEverythingAgree(@ForAll long seed) {
        Random random = new Random(seed);
        List<CrashTable> tables = List.of(table("r1"), table("r2"), table("c1"));
        Instant now = START;
        for (int step = 0; step < 60; step++) {
            now = now.plusMillis(random.nextInt(500));
            CrashTable t = tables.get(random.nextInt(tables.size()));
            RequestKey key = new RequestKey("a", random.nextInt(3));
            switch (random.nextInt(6)) {
                case 0 -> t.excuseAll(now, key);
                case 1 -> t.onAnswer(now, server(random.nextInt(5)), now);
                case 2 -> sendAll(now, t, tables.get(random.nextInt(tables.size())));
                default -> t.onCrash(now, key, "svc", server(random.nextInt(5)));
            }
        }
        for (int round = 0; round < 2; round++) {
            for (CrashTable from : tables) {
                for (CrashTable to : tables) {
                    sendAll(now, from, to);
                }
            }
        }
        for (int i = 0; i < 3; i++) {
            RequestKey key = new RequestKey("a", i);
            assertThat(tables.stream().map(t -> t.isSuspect(key)).distinct()).hasSize(1);
            assertThat(tables.stream().map(t -> t.isQuarantined(key)).distinct()).hasSize(1);
        }
    }
}
