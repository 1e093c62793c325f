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
    private static final SuspectKey KEY = SuspectKey.request("acme", 7);
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
        assertThat(mTable.isQuarantined(SuspectKey.request("other", 7))).isFalse();
        assertThat(mTable.isQuarantined(SuspectKey.request("acme", 8))).isFalse();
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
            mTable.onCrash(mNow, SuspectKey.request("a" + i, i), "svc", server(1));
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
        assertThat(reader.isSuspect(SuspectKey.request("a0", 0))).isTrue();
        assertThat(reader.isSuspect(SuspectKey.request("a149", 149))).isTrue();
    }

    // Guards against an account whose many requests evict the records of another account.
    @Test
    void accountCannotEvictRecordsOfAnother() {
        quarantine();
        for (int i = 0; i < 5 * CrashTable.MAX_SUSPECTS; i++) {
            mTable.onCrash(mNow, SuspectKey.request("flood", i), "svc", server(i));
        }
        assertThat(mTable.isQuarantined(KEY)).isTrue();
        assertThat(mTable.isSuspect(SuspectKey.request("flood", 0))).isFalse();
    }

    @Test
    void leastSuspectRequestsAreEvictedFirst() {
        quarantine();
        for (int i = 0; i < 2 * CrashTable.MAX_SUSPECTS; i++) {
            mTable.onCrash(mNow, SuspectKey.request("a" + i, i), "svc", server(i));
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
            SuspectKey key = SuspectKey.request("a", random.nextInt(3));
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
            SuspectKey key = SuspectKey.request("a", i);
            assertThat(tables.stream().map(t -> t.isSuspect(key)).distinct()).hasSize(1);
            assertThat(tables.stream().map(t -> t.isQuarantined(key)).distinct()).hasSize(1);
        }
    }

    private static final long PART = 5;

    private void crashUnderPart(CrashTable t, long part, String account, int server) {
        t.onCrashUnderParts(mNow, List.of(part), account, "svc", server(server));
    }

    private boolean isBlamed(String account, Long... parts) {
        return mTable.findBlamedPart(account, "svc", List.of(parts)).isPresent();
    }

    @Test
    void crashesOfFourServersQuarantineAPromptPart() {
        for (int i = 1; i <= 3; i++) {
            crashUnderPart(mTable, PART, "acme", i);
            crashUnderPart(mTable, PART, "acme", i);
        }
        assertThat(isBlamed("acme", PART)).isFalse();
        crashUnderPart(mTable, PART, "acme", 4);
        assertThat(isBlamed("acme", PART)).isTrue();
        assertThat(isBlamed("acme", PART + 1)).isFalse();
        assertThat(mTable.quarantinedCount(SuspectKey.Kind.PROMPT_PART)).isOne();
        assertThat(mTable.quarantinedCount(SuspectKey.Kind.REQUEST)).isZero();
        mTable.excuseAll(mNow, SuspectKey.promptPart(PART));
        assertThat(isBlamed("acme", PART)).isFalse();
        assertThat(mQuarantineChanges).containsExactly(true, false);
    }

    // Guards against an account that names another account's part in its own crashing requests.
    @Test
    void crashesOfOneAccountDoNotQuarantineAPartForAnother() {
        for (int i = 1; i <= 6; i++) {
            crashUnderPart(mTable, PART, "acme", i);
        }
        assertThat(isBlamed("other", PART)).isFalse();
        crashUnderPart(mTable, PART, "other", 7);
        assertThat(isBlamed("other", PART)).isTrue();
        assertThat(isBlamed("third", PART)).isTrue();
    }

    // Guards against refusing a part because servers of another service, with other models, crash.
    @Test
    void crashesOfOneServiceDoNotQuarantineAPartForAnother() {
        for (int i = 1; i <= 4; i++) {
            crashUnderPart(mTable, PART, "acme", i);
        }
        mTable.onPartsServed(mNow, List.of(PART), "svc2");
        assertThat(mTable.findBlamedPart("acme", "svc2", List.of(PART))).isEmpty();
    }

    // Guards against refusing sound prompts with one of two parts that only came together.
    @Test
    void partsWithTheSameCrashesAreQuarantinedOnlyTogether() {
        for (int i = 1; i <= 4; i++) {
            mTable.onCrashUnderParts(mNow, List.of(1L, 2L), "acme", "svc", server(i));
        }
        assertThat(isBlamed("acme", 1L, 2L, 3L)).isTrue();
        assertThat(isBlamed("acme", 1L, 3L)).isFalse();
        mTable.onPartsServed(mNow, List.of(1L, 3L), "svc");
        assertThat(isBlamed("acme", 2L)).isTrue();
        assertThat(isBlamed("acme", 1L, 3L)).isFalse();
    }

    // Guards against refusing a common part in place of a new one that all crashes share, where no
    // request with the common part was served between the crashes.
    @Test
    void partThatWasNeverServedIsBlamedBeforeOneThatWas() {
        mTable.onPartsServed(mNow, List.of(1L), "svc");
        mNow = mNow.plusMillis(1);
        for (int i = 1; i <= 7; i++) {
            mTable.onCrashUnderParts(mNow, List.of(1L), "acme", "svc", server(100 + i));
        }
        for (int i = 1; i <= 4; i++) {
            mTable.onCrashUnderParts(mNow, List.of(1L, 2L), "acme", "svc", server(i));
        }
        assertThat(isBlamed("acme", 2L)).isTrue();
        assertThat(isBlamed("acme", 1L)).isFalse();
    }

    // Guards against a part that crashes servers since their last release and was served before it.
    @Test
    void partThatWasServedIsQuarantinedAfterMoreCrashes() {
        mTable.onPartsServed(mNow, List.of(1L), "svc");
        mNow = mNow.plusMillis(1);
        for (int i = 1; i <= 8; i++) {
            assertThat(isBlamed("acme", 1L)).isFalse();
            crashUnderPart(mTable, 1, "acme", i);
        }
        assertThat(isBlamed("acme", 1L)).isTrue();
    }

    // Guards against a crash that a router hears of only after it has served the part.
    @Test
    void servedPartIsExcusedOfCrashesThatAreHeardOfLater() {
        CrashTable second = table("r2");
        for (int i = 1; i <= 4; i++) {
            crashUnderPart(second, PART, "acme", i);
        }
        mNow = mNow.plusMillis(50);
        mTable.onPartsServed(mNow, List.of(PART), "svc");
        mNow = mNow.plusMillis(50);
        sendAll(mNow, second, mTable);
        assertThat(isBlamed("acme", PART)).isFalse();
        sendAll(mNow, mTable, second);
        assertThat(second.findBlamedPart("acme", "svc", List.of(PART))).isEmpty();
    }

    // Guards against a flood of parts of one account that evicts the cause, or parts of others.
    @Test
    void floodOfPartsKeepsTheCauseAndThePartsOfOtherAccounts() {
        for (int i = 1; i <= 4; i++) {
            crashUnderPart(mTable, 7, "other", 10_000 + i);
        }
        for (int i = 0; i < 40; i++) {
            List<Long> parts = new ArrayList<>(List.of(PART));
            for (long j = 0; j < 200; j++) {
                parts.add(1_000_000 + i * 200 + j);
            }
            mTable.onCrashUnderParts(mNow, parts, "flood", "svc", server(i));
            assertThat(mTable.since(mNow, 0).records())
                    .hasSizeLessThanOrEqualTo(CrashTable.MAX_RECORDS_PER_MESSAGE);
        }
        assertThat(isBlamed("other", 7L)).isTrue();
        assertThat(isBlamed("flood", PART)).isTrue();
        assertThat(mTable.findBlamedPart("flood", "svc", List.of(1_000_001L))).isEmpty();
    }

    // Guards against a cause whose record never leaves a process, since each of its crashes moves
    // it behind the changes of many other records.
    @Test
    void mostSuspectRecordsAreSentBeforeEarlierChanges() {
        CrashTable reader = table("c1");
        long seen = 0;
        for (int i = 1; i <= 5; i++) {
            crashUnderPart(mTable, PART, "acme", i);
            for (int j = 0; j < 60; j++) {
                crashUnderPart(mTable, 1000 + 100 * i + j, "acme", i);
            }
            CrashDelta delta = mTable.since(mNow, seen);
            reader.merge(mNow, delta.records());
            assertThat(delta.version()).isGreaterThan(seen);
            seen = delta.version();
        }
        assertThat(reader.findBlamedPart("acme", "svc", List.of(PART))).isPresent();
    }

    // Guards against a record of which all crashes are too old: an entry without a crash would end
    // the process when it looks for the last one.
    @Test
    void recordWithOldCrashesOnlyIsIgnored() {
        Crash.Owner owner = new Crash.Owner("svc", "acme", false);
        Crash old = new Crash(server(1), "r2", Duration.ofDays(2), false, owner);
        SuspectKey key = SuspectKey.promptPart(PART);
        mTable.merge(mNow, List.of(new CrashRecord(key, "svc", true, List.of(old))));
        mTable.expire(mNow.plusSeconds(2));
        assertThat(mTable.isEmpty()).isTrue();
    }

    // Guards against telling twice that a part is released.
    @Test
    void forgottenPartIsReleasedOnce() {
        for (int i = 1; i <= 4; i++) {
            crashUnderPart(mTable, PART, "acme", i);
        }
        mTable.expire(mNow.plus(Duration.ofHours(25)));
        assertThat(mTable.isEmpty()).isTrue();
        assertThat(mQuarantineChanges).containsExactly(true, false);
    }
}
