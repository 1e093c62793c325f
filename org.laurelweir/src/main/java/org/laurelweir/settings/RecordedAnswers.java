package org.laurelweir.settings;

import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The first answers to recent changes by their ids. Operators whose answer was lost send the change
 * again; without this they would learn of a conflict with themselves. An id that has been forgotten
 * does no harm: the change's expected versions have passed and it is refused.
 */
final class RecordedAnswers {
    private final Map<String, RecordedAnswer> mAnswers = new LinkedHashMap<>();
    private final SettingsStore.Limits mLimits;
    private long mBytes;

    RecordedAnswers(Collection<RecordedAnswer> answers, SettingsStore.Limits limits) {
        mLimits = limits;
        answers.forEach(this::put);
    }

    RecordedAnswer find(String changeId) {
        return mAnswers.get(changeId);
    }

    /** Keeps an answer under an id that has none, and forgets the oldest beyond the limit. */
    void keep(RecordedAnswer answer) {
        put(answer);
        while (mBytes > mLimits.answerBytes() && mAnswers.size() > 1) {
            forgetOldest();
        }
    }

    private void put(RecordedAnswer answer) {
        mAnswers.put(answer.changeId(), answer);
        mBytes += answer.bytes();
    }

    private RecordedAnswer oldest() {
        return mAnswers.values().iterator().next();
    }

    private void forgetOldest() {
        RecordedAnswer forgotten = mAnswers.remove(oldest().changeId());
        mBytes -= forgotten.bytes();
    }

    /** Forgets answers by the leader's time, so that every replica forgets the same. */
    void expire(Instant now) {
        Instant earliest = now.minus(mLimits.answerRetention());
        while (!mAnswers.isEmpty() && isDue(oldest(), earliest)) {
            forgetOldest();
        }
    }

    private boolean isDue(RecordedAnswer oldest, Instant earliest) {
        return oldest.at().isBefore(earliest) || mAnswers.size() > mLimits.answers();
    }

    List<RecordedAnswer> all() {
        return List.copyOf(mAnswers.values());
    }
}
