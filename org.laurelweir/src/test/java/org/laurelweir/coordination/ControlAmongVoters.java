package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.ReplicaMessage;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.quarantine.CrashDelta;

/**
 * One control instance among voters that grant it every vote and acknowledge its entries, as long
 * as they run. Disk and messages take no time.
 */
final class ControlAmongVoters {
    static final ReplicaId SELF = new ReplicaId("c1", 1);
    private static final Duration TICK = Duration.ofMillis(20);

    private final Set<ReplicaId> mRunning = new HashSet<>();
    private final Set<ReplicaId> mWithoutLog = new HashSet<>();
    private final Queue<ControlEvent> mEvents = new ArrayDeque<>();
    private final List<Decision> mWarnings = new ArrayList<>();
    private final List<Decision> mDecisions = new ArrayList<>();
    private final List<ControlEffect.Answer> mAnswers = new ArrayList<>();
    private final ControlReducer mReducer;
    private Instant mNow = Instant.EPOCH;
    private ControlInstanceStatus mStatus;

    ControlAmongVoters(List<ReplicaId> voters, OptionalInt toleratedLosses) {
        mRunning.addAll(voters);
        Map<String, String> addresses = new TreeMap<>();
        voters.forEach(v -> addresses.put(v.name(), v.name()));
        ConsensusConfig consensus =
                ConsensusConfig.builder()
                        .electionTimeout(Duration.ofMillis(600))
                        .heartbeatInterval(Duration.ofMillis(100))
                        .build();
        ControlConfig config =
                ControlConfig.builder(SELF, 1, addresses)
                        .consensus(consensus)
                        .toleratedLosses(toleratedLosses)
                        .build();
        mReducer = new ControlReducer(config, new ListLogCodec(), 1);
        offer(new ConsensusEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of(), 0));
        offer(new ConsensusEvent.Bootstrapped(Membership.ofVoters(voters)));
    }

    private void offer(ConsensusEvent event) {
        mEvents.add(new ControlEvent.ReplicaEvent(event));
    }

    void stop(ReplicaId voter) {
        mRunning.remove(voter);
    }

    /** Starts a replica that reports its status but does not take part in the log. */
    void startWithoutLog(ReplicaId replica) {
        mWithoutLog.add(replica);
    }

    /** Advances the time. */
    void run(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mEvents.add(new ControlEvent.Tick());
            while (!mEvents.isEmpty()) {
                mReducer.step(mNow, mEvents.remove(), this::onEffect);
            }
            mNow = mNow.plus(TICK);
        }
    }

    /** Handles an event, and what follows from it at once. */
    void receive(ControlEvent event) {
        mEvents.add(event);
        run(TICK);
    }

    /** Returns the state of a backend server by the last decision about it. */
    Backend.State state(String id) {
        return mDecisions.stream()
                .filter(d -> d.candidates().equals(List.of(id)))
                .reduce((a, b) -> b)
                .map(d -> Backend.State.valueOf(d.choice()))
                .orElseThrow();
    }

    /** Returns the answers to calls so far. */
    List<ControlEffect.Answer> answers() {
        return mAnswers;
    }

    /** Returns the last status that the instance reported. */
    ControlInstanceStatus status() {
        return mStatus;
    }

    /** Returns the warnings logged so far. */
    List<Decision> warnings() {
        return mWarnings;
    }

    /** Returns the choices of the ordinary log lines so far. */
    List<String> choices() {
        return mDecisions.stream().map(Decision::choice).toList();
    }

    private void onEffect(ControlEffect effect) {
        if (effect instanceof ControlEffect.SendToReplica s) {
            onSend(s.send());
        } else if (effect instanceof ControlEffect.Persist p) {
            offer(new ConsensusEvent.Persisted(p.persist().sequence()));
        } else if (effect instanceof ControlEffect.RequestPeerUpdate r) {
            Stream.concat(mRunning.stream(), mWithoutLog.stream())
                    .filter(v -> v.name().equals(r.peer()) && !v.equals(SELF))
                    .forEach(this::reportStatus);
        } else if (effect instanceof ControlEffect.ReportStatus r) {
            mStatus = r.self();
        } else if (effect instanceof ControlEffect.Answer a) {
            mAnswers.add(a);
        } else if (effect instanceof ControlEffect.LogWarning w) {
            mWarnings.add(w.decision());
        } else if (effect instanceof ControlEffect.LogDecision d) {
            mDecisions.add(d.decision());
        }
    }

    private void onSend(ConsensusEffect.Send send) {
        if (!mRunning.contains(send.to())) {
            return;
        }
        ReplicaMessage m = send.message();
        ReplicaMessage reply = null;
        if (m instanceof ReplicaMessage.PreVoteRequest r) {
            reply = new ReplicaMessage.PreVoteReply(r.term(), true);
        } else if (m instanceof ReplicaMessage.VoteRequest r) {
            reply = new ReplicaMessage.VoteReply(r.term(), true);
        } else if (m instanceof ReplicaMessage.AppendRequest r) {
            long match = r.prevIndex() + r.entries().size();
            reply = new ReplicaMessage.AppendReply(r.term(), true, match, r.round(), false);
        }
        if (reply != null) {
            offer(new ConsensusEvent.MessageReceived(send.to(), reply));
        }
    }

    private void reportStatus(ReplicaId peer) {
        ControlInstanceStatus status =
                new ControlInstanceStatus(
                        peer, peer.name(), false, 1, 0, false, Membership.EMPTY, Optional.empty());
        PeerUpdate update = new PeerUpdate(MembershipCursor.NONE, List.of(), List.of());
        mEvents.add(
                new ControlEvent.PeerUpdateReceived(
                        peer.name(), update, CrashDelta.NONE, List.of(), status));
    }
}
