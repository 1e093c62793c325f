package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.SharedMembership;

/** Tests which other control instances count towards the majority of all. */
class ControlPeersTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration LONGER_THAN_SILENCE = Duration.ofSeconds(62);
    private static final List<String> SEEDS = List.of("seed-1:1", "seed-2:1", "seed-3:1");
    private static final String SELF = "new-1:1";

    private final SharedMembership mMembership =
            new SharedMembership(
                    MembershipConfig.builder(SELF, 0).build(), SEEDS, (b, reason, isOwn) -> {});
    private final ControlPeers mPeers = newPeers(true);
    private Instant mNow = START;

    private ControlPeers newPeers(boolean autoJoin) {
        Map<String, String> addresses =
                SEEDS.stream().collect(Collectors.toMap(Function.identity(), Function.identity()));
        ControlConfig config =
                ControlConfig.builder(new ReplicaId(SELF, 1), 0, addresses)
                        .autoJoin(autoJoin)
                        .build();
        return new ControlPeers(config, mMembership::expectPeer, mMembership::forgetPeer);
    }

    private static Membership membersOf(List<String> names) {
        return Membership.ofVoters(names.stream().map(n -> new ReplicaId(n, 1)).toList());
    }

    /** Lets the time pass in which only some peers answer. */
    private void advance(
            ControlPeers peers, Duration time, Membership members, Collection<String> answering) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            mMembership.tick(mNow);
            for (String peer : answering) {
                mMembership.merge(
                        mNow,
                        peer,
                        new PeerUpdate(new MembershipCursor(peer, 0, 1), List.of(), List.of()));
                peers.discover(mNow, peer);
            }
            peers.removeSilent(mNow, members);
        }
    }

    // Guards against seeds that were replaced long ago and still count, so that one loss of three
    // leaves no majority.
    @Test
    void replacedSeedsDoNotCountTowardsTheMajority() {
        Membership members = membersOf(List.of(SELF, "new-2:1", "new-3:1"));
        advance(mPeers, LONGER_THAN_SILENCE, members, List.of("new-2:1", "new-3:1"));
        assertThat(mMembership.hasMajority()).isTrue();
        advance(mPeers, Duration.ofSeconds(10), members, List.of("new-2:1"));
        assertThat(mMembership.hasMajority()).isTrue();
    }

    // Guards against an instance that finds nobody any more once the seeds have been silent.
    @Test
    void silentSeedsAreStillAsked() {
        Membership members = membersOf(List.of(SELF, "new-2:1", "new-3:1"));
        advance(mPeers, LONGER_THAN_SILENCE, members, List.of("new-2:1", "new-3:1"));
        assertThat(mPeers.all()).containsAll(SEEDS);
    }

    // Guards against a seed that has returned and does not count.
    @Test
    void seedThatReturnsCountsAgain() {
        Membership members = membersOf(List.of(SELF, "new-2:1", "new-3:1"));
        advance(mPeers, LONGER_THAN_SILENCE, members, List.of("new-2:1", "new-3:1"));
        advance(mPeers, STEP, members, SEEDS);
        advance(mPeers, Duration.ofSeconds(10), members, List.of("new-2:1"));
        assertThat(mMembership.hasMajority()).isFalse();
    }

    // Guards against an instance that is cut off and takes itself for the majority.
    @Test
    void silentSeedsThatHoldTheLogCount() {
        Membership members = membersOf(SEEDS);
        advance(mPeers, LONGER_THAN_SILENCE, members, List.of());
        assertThat(mMembership.hasMajority()).isFalse();
    }

    // Guards against an instance that restarts cut off, has heard none of the log's members, and
    // takes itself for the majority.
    @Test
    void membersThatWereNeverHeardCount() {
        Membership members = membersOf(List.of(SELF, "new-2:1", "new-3:1"));
        advance(mPeers, LONGER_THAN_SILENCE, members, List.of());
        assertThat(mMembership.hasMajority()).isFalse();
    }

    // Guards against an instance that is cut off before it knows the log's members, and takes
    // itself for the majority.
    @Test
    void silentSeedsCountWhileTheMembersAreUnknown() {
        advance(mPeers, STEP, Membership.EMPTY, SEEDS);
        advance(mPeers, LONGER_THAN_SILENCE, Membership.EMPTY, List.of());
        assertThat(mMembership.hasMajority()).isFalse();
    }

    // Guards against a configured instance that is forgotten during a long outage.
    @Test
    void configuredPeersCountForGoodWithoutAutomaticJoining() {
        ControlPeers peers = newPeers(false);
        Membership members = membersOf(List.of(SELF));
        advance(peers, LONGER_THAN_SILENCE, members, List.of());
        assertThat(mMembership.hasMajority()).isFalse();
    }
}
