package org.laurelweir.settings;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The first answers to recent changes by their ids. Operators whose answer was lost send the change
 * again; without this they would learn of a conflict with themselves. An id that has been forgotten
 * does no harm: the change's expected versions have passed and it is refused.
 */
final class AnswerLog {
    private final Map<String, KeptAnswer> mAnswers = new LinkedHashMap<>();
    private final int mMaxAnswers;
    private final Duration mRetention;

    AnswerLog(Collection<KeptAnswer> answers, int maxAnswers, Duration retention) {
        answers.forEach(a -> mAnswers.put(a.changeId(), a));
        mMaxAnswers = maxAnswers;
        mRetention = retention;
    }

    KeptAnswer find(String changeId) {
        return mAnswers.get(changeId);
    }

    void keep(KeptAnswer answer) {
        mAnswers.put(answer.changeId(), answer);
    }

    /** Forgets answers by the leader's time, so that every replica forgets the same. */
    void expire(Instant now) {
        Instant oldest = now.minus(mRetention);
        Iterator<KeptAnswer> answers = mAnswers.values().iterator();
        while (answers.hasNext()) {
            boolean tooMany = mAnswers.size() > mMaxAnswers;
            if (!answers.next().at().isBefore(oldest) && !tooMany) {
                return;
            }
            answers.remove();
        }
    }

    List<KeptAnswer> all() {
        return List.copyOf(mAnswers.values());
    }
}
