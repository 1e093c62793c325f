package org.laurelweir.settings;

import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The first answers to recent changes, by change ID. An operator who did not receive the answer
 * sends the change again; without the recorded answer, the change would conflict with its own first
 * execution. Evicting an answer is safe: the change's expected versions are outdated then, and it
 * is rejected.
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

    /** Adds an answer under a new change ID and evicts the oldest ones beyond the size limit. */
    void recordAnswer(RecordedAnswer answer) {
        put(answer);
        while (mBytes > mLimits.answerBytes() && mAnswers.size() > 1) {
            evictOldest();
        }
    }

    private void put(RecordedAnswer answer) {
        mAnswers.put(answer.changeId(), answer);
        mBytes += answer.estimatedBytes();
    }

    private RecordedAnswer oldest() {
        return mAnswers.values().iterator().next();
    }

    private void evictOldest() {
        RecordedAnswer evicted = mAnswers.remove(oldest().changeId());
        mBytes -= evicted.estimatedBytes();
    }

    /** Evicts answers by the leader's time, so that every replica evicts the same ones. */
    void evictExpired(Instant now) {
        Instant earliest = now.minus(mLimits.answerRetention());
        while (!mAnswers.isEmpty() && mustEvict(oldest(), earliest)) {
            evictOldest();
        }
    }

    private boolean mustEvict(RecordedAnswer oldest, Instant earliest) {
        return oldest.timestamp().isBefore(earliest) || mAnswers.size() > mLimits.answers();
    }

    List<RecordedAnswer> all() {
        return List.copyOf(mAnswers.values());
    }
}
