package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEffect.RoleChanged;
import org.laurelweir.consensus.ConsensusEffect.Send;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ConsensusEvent.Persisted;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.ConsensusEvent.Tick;

/** Measures how soon replicas that start at the same time elect a leader. */
class ElectionRaceTest {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration SYNC_DURATION = Duration.ofMillis(5);
    private static final int START_WINDOW_MILLIS = 100;
    private static final int MIN_MESSAGE_DELAY_MILLIS = 20;
    private static final int MAX_MESSAGE_DELAY_MILLIS = 80;
    private static final int RACES = 500;
    private static final long SEED = 20;
    private static final ConsensusConfig CONFIG =
            ConsensusConfig.builder()
                    .electionTimeout(Duration.ofMillis(600))
                    .heartbeatInterval(Duration.ofMillis(100))
                    .build();

    private record ScheduledEvent(
            Instant time, long sequence, ReplicaId to, ConsensusEvent event) {}

    private final PriorityQueue<ScheduledEvent> mScheduledEvents =
            new PriorityQueue<>(
                    Comparator.comparing(ScheduledEvent::time)
                            .thenComparing(ScheduledEvent::sequence));
    private final Map<ReplicaId, ConsensusReducer> mReducers = new HashMap<>();
    private SplittableRandom mRandom;
    private Instant mNow;
    private Instant mElectedAt;
    private long mNextSequence;

    // Guards against split votes, after which routers get their settings about a second later than
    // usual. All replicas are killed and restart within 0.1 s, and messages between processes that
    // are still warming up take 20 to 80 ms. If several replicas request pre-votes before they
    // receive each other's requests, all get them and each votes for itself. Then none has a
    // majority in that term, and the next attempt waits for a whole election timeout.
    @Test
    void replicasThatStartTogetherSeldomSplitVotes() {
        List<Duration> times = new ArrayList<>();
        int split = 0;
        for (int race = 0; race < RACES; race++) {
            times.add(race(SEED + race, 4));
            split += termOfLeader() > 2 ? 1 : 0;
        }
        times.sort(Comparator.naturalOrder());
        System.out.printf(
                "seed %d: of %d races %d split, median %s, slowest %s%n",
                SEED, RACES, split, times.get(RACES / 2), times.get(RACES - 1));
        assertThat(split).isLessThanOrEqualTo(RACES / 100);
        assertThat(times.get(RACES / 2)).isLessThan(Duration.ofMillis(350));
        assertThat(times.get(RACES - 1 - RACES / 100)).isLessThan(Duration.ofMillis(700));
    }

    private long termOfLeader() {
        return mReducers.values().stream()
                .filter(r -> r.role() == Role.LEADER)
                .mapToLong(ConsensusReducer::term)
                .max()
                .orElseThrow();
    }

    /** Returns the time from the start of the last replica until one replica leads. */
    private Duration race(long seed, int size) {
        mRandom = new SplittableRandom(seed);
        mScheduledEvents.clear();
        mReducers.clear();
        mElectedAt = null;
        mNow = Instant.EPOCH;
        List<ReplicaId> ids = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            ids.add(new ReplicaId("r" + i, i + 1));
        }
        Snapshot snapshot = new Snapshot(10, 1, Membership.ofVoters(ids), new byte[0]);
        Instant lastStart = Instant.EPOCH;
        for (ReplicaId id : ids) {
            mReducers.put(id, new ConsensusReducer(id, CONFIG, mRandom.nextLong()));
            Duration delay = Duration.ofMillis(mRandom.nextInt(START_WINDOW_MILLIS));
            schedule(delay, id, new Recovered(new HardState(1, ids.get(0)), snapshot, List.of()));
            schedule(delay, id, new Tick());
            lastStart = max(lastStart, mNow.plus(delay));
        }
        while (mElectedAt == null) {
            ScheduledEvent next = mScheduledEvents.poll();
            mNow = next.time();
            step(next.to(), next.event());
        }
        return Duration.between(lastStart, mElectedAt);
    }

    private static Instant max(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    private void schedule(Duration delay, ReplicaId to, ConsensusEvent event) {
        mScheduledEvents.add(new ScheduledEvent(mNow.plus(delay), mNextSequence++, to, event));
    }

    private void step(ReplicaId id, ConsensusEvent event) {
        if (event instanceof Tick) {
            schedule(TICK_INTERVAL, id, event);
        }
        mReducers.get(id).step(mNow, event, effect -> handle(id, effect));
    }

    private void handle(ReplicaId id, ConsensusEffect effect) {
        if (effect instanceof Send e) {
            int spread = MAX_MESSAGE_DELAY_MILLIS - MIN_MESSAGE_DELAY_MILLIS;
            Duration delay = Duration.ofMillis(MIN_MESSAGE_DELAY_MILLIS + mRandom.nextInt(spread));
            schedule(delay, e.to(), new MessageReceived(id, e.message()));
        } else if (effect instanceof Persist e) {
            schedule(SYNC_DURATION, id, new Persisted(e.sequence()));
        } else if (effect instanceof RoleChanged e && e.role() == Role.LEADER) {
            mElectedAt = mNow;
        }
    }
}
