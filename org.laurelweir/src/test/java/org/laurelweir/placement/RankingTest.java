package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.lib.BackendRef;

/** Tests the stability, the evenness and the weights of the ranking. */
class RankingTest {
    private static final int CHAT_COUNT = 20_000;

    @Property(tries = 200, seed = "11")
    void departureKeepsTheOrderOfTheOthers(
            @ForAll @IntRange(min = 2, max = 60) int n,
            @ForAll @IntRange(min = 0, max = 59) int departedIndex,
            @ForAll long hash) {
        List<Candidate> all = Candidates.of(n);
        Candidate departed = all.get(departedIndex % n);
        ChatKey chat = new ChatKey(hash);
        List<Candidate> before = new ArrayList<>(Ranking.of(all).top(chat, n));
        List<Candidate> remaining = all.stream().filter(c -> c != departed).toList();

        before.remove(departed);

        assertThat(Ranking.of(remaining).top(chat, n)).isEqualTo(before);
        assertThat(Ranking.of(all).topWithout(chat, departed.id(), n)).isEqualTo(before);
    }

    @Property(tries = 200, seed = "12")
    void rankFollowsDistance(
            @ForAll @IntRange(min = 1, max = 40) int n,
            @ForAll @IntRange(min = 1, max = 5) int k,
            @ForAll long hash) {
        ChatKey chat = new ChatKey(hash);
        Ranking ranking = Ranking.of(Candidates.of(n));
        List<Candidate> byDistance =
                Candidates.of(n).stream()
                        .sorted(
                                (a, b) ->
                                        Long.compare(
                                                ranking.distance(chat, a),
                                                ranking.distance(chat, b)))
                        .limit(k)
                        .toList();

        assertThat(ranking.top(chat, k)).isEqualTo(byDistance);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 100, 1000})
    void joinMovesOnlyTheShareOfTheNewServer(int n) {
        Ranking before = Ranking.of(Candidates.of(n));
        Ranking after = Ranking.of(Candidates.of(n + 1));
        String joined = "worker-" + n;
        long moved = 0;
        for (long i = 0; i < CHAT_COUNT; i++) {
            ChatKey chat = ChatKey.of("account", "chat-" + i);
            Candidate home = after.home(chat);
            if (home.equals(before.home(chat))) {
                continue;
            }
            assertThat(home.id()).isEqualTo(joined);
            moved++;
        }
        assertThat(moved).isLessThan(2L * CHAT_COUNT / (n + 1));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 100})
    void sharesAreEven(int n) {
        Map<Candidate, Integer> homes = homes(Ranking.of(Candidates.of(n)), n * 2000);
        assertThat(homes).hasSize(n);
        assertThat(homes.values()).allSatisfy(c -> assertThat(c).isBetween(1400, 2300));
    }

    @Test
    void shareFollowsWeight() {
        List<Candidate> all = new ArrayList<>(Candidates.of(9));
        Candidate heavy = new Candidate(new BackendRef("heavy", 1), "floro", 3);
        all.add(heavy);
        all.add(new Candidate(new BackendRef("none", 1), "floro", 0));
        Map<Candidate, Integer> homes = homes(Ranking.of(all), 12_000);
        assertThat(homes.get(heavy)).isBetween(2500, 3500);
        assertThat(homes).hasSize(10);
    }

    @Test
    void shareFollowsLargeWeights() {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            all.add(new Candidate(new BackendRef("worker-" + i, 1), "floro", 64));
        }
        Candidate light = new Candidate(new BackendRef("light", 1), "floro", 16);
        all.add(light);
        Map<Candidate, Integer> homes = homes(Ranking.of(all), 12_000);
        assertThat(homes.get(light)).isBetween(200, 480);
        assertThat(homes).hasSize(10);
    }

    // Guards against a heap that is too small for the points of some thousand servers that announce
    // their slots as weight, and against a ranking that takes seconds after each change.
    @Test
    void largeWeightsMakeNoMoreThan32PointsForEachServer() {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 3_800; i++) {
            all.add(new Candidate(new BackendRef("worker-" + i, 1), "floro", 64));
        }
        assertThat(Ranking.of(all).pointCount()).isLessThanOrEqualTo(32 * all.size());
    }

    @Test
    void emptyRankingHasNoHome() {
        Ranking empty = Ranking.of(List.of());
        assertThat(empty.home(new ChatKey(1))).isNull();
        assertThat(empty.top(new ChatKey(1), 3)).isEmpty();
    }

    private static Map<Candidate, Integer> homes(Ranking ranking, int chats) {
        Map<Candidate, Integer> homes = new HashMap<>();
        LongStream.range(0, chats)
                .mapToObj(i -> ranking.home(ChatKey.of("account", "chat-" + i)))
                .forEach(h -> homes.merge(h, 1, Integer::sum));
        return homes;
    }
}
