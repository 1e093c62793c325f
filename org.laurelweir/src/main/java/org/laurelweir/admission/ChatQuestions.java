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
final class ChatQuestions {
    /** A round trip between data centres of one region takes a few milliseconds. */
    private static final Duration MAX_WAIT = Duration.ofMillis(100);

    private static final class Question {
        private final Attempt mAttempt;
        private final Instant mUntil;
        private int mUnanswered;

        Question(Attempt attempt, Instant until) {
            mAttempt = attempt;
            mUntil = until;
        }
    }

    private final Members mMembers;
    private final Long2ObjectHashMap<Question> mQuestions = new Long2ObjectHashMap<>();
    private long mCount;

    ChatQuestions(Members members) {
        mMembers = members;
    }

    /**
     * Asks for an attempt's chat.
     *
     * @return whether anybody could be asked, so that the attempt has to wait
     */
    boolean ask(Step step, Attempt attempt, List<Candidate> candidates) {
        Question question = new Question(attempt, step.now().plus(MAX_WAIT));
        for (Candidate c : candidates) {
            String address = mMembers.address(c.id());
            if (address != null) {
                mQuestions.put(++mCount, question);
                question.mUnanswered++;
                List<Long> chats = List.of(attempt.request().chat());
                step.emit(new SidecarEffect.LocateChats(mCount, address, chats));
            }
        }
        return question.mUnanswered > 0;
    }

    /**
     * Takes an answer.
     *
     * @return the attempt that can go on with it, or null where others may still know
     */
    Attempt answered(long question, Map<Long, String> locations) {
        Question q = mQuestions.remove(question);
        if (q == null) {
            return null;
        }
        q.mUnanswered--;
        boolean known = locations.containsKey(q.mAttempt.request().chat());
        if (!known && q.mUnanswered > 0) {
            return null;
        }
        forget(q.mAttempt);
        return q.mAttempt;
    }

    /** Takes out the attempts that have waited long enough for an answer. */
    List<Attempt> expire(Instant now) {
        List<Attempt> expired = new ArrayList<>();
        Iterator<Question> all = mQuestions.values().iterator();
        while (all.hasNext()) {
            Question q = all.next();
            if (!q.mUntil.isAfter(now)) {
                all.remove();
                if (!expired.contains(q.mAttempt)) {
                    expired.add(q.mAttempt);
                }
            }
        }
        return expired;
    }

    /** Takes an attempt out that waits no more. */
    void forget(Attempt attempt) {
        mQuestions.values().removeIf(q -> q.mAttempt == attempt);
    }

    /** Returns the attempts that wait for an answer. */
    List<Attempt> all() {
        return mQuestions.values().stream().map(q -> q.mAttempt).distinct().toList();
    }
}
