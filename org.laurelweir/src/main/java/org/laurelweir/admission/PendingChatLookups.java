package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.placement.Candidate;

/**
 * Attempts held for a moment while other sidecars are asked where their chats sit. The first answer
 * that knows decides; without one the attempt goes on here.
 */
final class PendingChatLookups {
    /** A round trip between data centres of one region takes a few milliseconds. */
    private static final Duration MAX_WAIT = Duration.ofMillis(100);

    private static final class Lookup {
        private final Attempt mAttempt;
        private final Instant mDeadline;
        private int mPendingReplies;

        Lookup(Attempt attempt, Instant until) {
            mAttempt = attempt;
            mDeadline = until;
        }
    }

    private final Members mMembers;
    private final Long2ObjectHashMap<Lookup> mLookups = new Long2ObjectHashMap<>();
    private long mLastQuestion;

    PendingChatLookups(Members members) {
        mMembers = members;
    }

    /**
     * Asks for an attempt's chat.
     *
     * @return whether anybody could be asked, so that the attempt has to wait
     */
    boolean askPeers(Step step, Attempt attempt, List<Candidate> candidates) {
        Lookup question = new Lookup(attempt, step.now().plus(MAX_WAIT));
        for (Candidate c : candidates) {
            String address = mMembers.address(c.id());
            if (address != null) {
                mLookups.put(++mLastQuestion, question);
                question.mPendingReplies++;
                List<Long> chats = List.of(attempt.request().chat());
                step.emit(new SidecarEffect.LocateChats(mLastQuestion, address, chats));
            }
        }
        return question.mPendingReplies > 0;
    }

    /**
     * Takes an answer.
     *
     * @return the attempt that can go on with it, or null where others may still know
     */
    Attempt onChatsLocated(long question, Map<Long, String> locations) {
        Lookup q = mLookups.remove(question);
        if (q == null) {
            return null;
        }
        q.mPendingReplies--;
        boolean known = locations.containsKey(q.mAttempt.request().chat());
        if (!known && q.mPendingReplies > 0) {
            return null;
        }
        remove(q.mAttempt);
        return q.mAttempt;
    }

    /** Takes out the attempts that have waited long enough for an answer. */
    List<Attempt> expire(Instant now) {
        List<Attempt> expired = new ArrayList<>();
        Iterator<Lookup> all = mLookups.values().iterator();
        while (all.hasNext()) {
            Lookup q = all.next();
            if (!q.mDeadline.isAfter(now)) {
                all.remove();
                if (!expired.contains(q.mAttempt)) {
                    expired.add(q.mAttempt);
                }
            }
        }
        return expired;
    }

    /** Takes an attempt out that waits no more. */
    void remove(Attempt attempt) {
        mLookups.values().removeIf(q -> q.mAttempt == attempt);
    }

    /** Returns the attempts that wait for an answer. */
    List<Attempt> waitingAttempts() {
        return mLookups.values().stream().map(q -> q.mAttempt).distinct().toList();
    }
}
