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
 * Attempts that wait while other sidecars are asked for the location of their chats. The first
 * reply that names a location decides. Without one, the attempt is placed at this backend server.
 */
final class PendingChatLookups {
    /**
     * Much longer than a round trip between data centres of one region, which takes a few
     * milliseconds.
     */
    private static final Duration MAX_WAIT = Duration.ofMillis(100);

    private static final class Lookup {
        private final Attempt mAttempt;
        private final Instant mDeadline;
        private int mPendingReplies;

        Lookup(Attempt attempt, Instant deadline) {
            mAttempt = attempt;
            mDeadline = deadline;
        }
    }

    private final Members mMembers;
    private final Long2ObjectHashMap<Lookup> mLookups = new Long2ObjectHashMap<>();
    private long mLastQuestion;

    PendingChatLookups(Members members) {
        mMembers = members;
    }

    /**
     * Asks other sidecars for the location of an attempt's chat.
     *
     * @return whether at least one sidecar was asked, so that the attempt has to wait
     */
    boolean askPeers(Step step, Attempt attempt, List<Candidate> candidates) {
        Lookup lookup = new Lookup(attempt, step.now().plus(MAX_WAIT));
        for (Candidate c : candidates) {
            String address = mMembers.address(c.id());
            if (address != null) {
                mLookups.put(++mLastQuestion, lookup);
                lookup.mPendingReplies++;
                List<Long> chats = List.of(attempt.request().chat());
                step.emit(new SidecarEffect.LocateChats(mLastQuestion, address, chats));
            }
        }
        return lookup.mPendingReplies > 0;
    }

    /**
     * Handles a reply.
     *
     * @return the attempt whose look-up is complete, or null if other sidecars may still know the
     *     location
     */
    Attempt onChatsLocated(long requestId, Map<Long, String> locations) {
        Lookup lookup = mLookups.remove(requestId);
        if (lookup == null) {
            return null;
        }
        lookup.mPendingReplies--;
        boolean known = locations.containsKey(lookup.mAttempt.request().chat());
        if (!known && lookup.mPendingReplies > 0) {
            return null;
        }
        remove(lookup.mAttempt);
        return lookup.mAttempt;
    }

    /** Removes and returns the attempts whose look-up has timed out. */
    List<Attempt> expire(Instant now) {
        List<Attempt> expired = new ArrayList<>();
        Iterator<Lookup> lookups = mLookups.values().iterator();
        while (lookups.hasNext()) {
            Lookup lookup = lookups.next();
            if (!lookup.mDeadline.isAfter(now)) {
                lookups.remove();
                if (!expired.contains(lookup.mAttempt)) {
                    expired.add(lookup.mAttempt);
                }
            }
        }
        return expired;
    }

    /** Removes an attempt that no longer waits for a reply. */
    void remove(Attempt attempt) {
        mLookups.values().removeIf(lookup -> lookup.mAttempt == attempt);
    }

    /** Returns the attempts that wait for a reply. */
    List<Attempt> waitingAttempts() {
        return mLookups.values().stream().map(lookup -> lookup.mAttempt).distinct().toList();
    }
}
