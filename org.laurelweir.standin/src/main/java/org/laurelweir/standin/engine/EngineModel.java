package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.laurelweir.lib.Reducer;
import org.laurelweir.standin.Execution.Outcome;

/**
 * A model of an engine with continuous batching. Requests enter the batch by priority, process the
 * uncached part of their prompt, and then all produce tokens at a rate that falls with the size of
 * the batch. The model counts tokens and has no texts.
 *
 * <p>A cancelled request keeps its progress for a while; a resume continues from there.
 */
public final class EngineModel implements Reducer<EngineEvent, EngineEffect> {
    /** The longest time step for which the rates are taken as constant. */
    private static final Duration MAX_STEP = Duration.ofMillis(5);

    private static final double NANOS_PER_SECOND = 1e9;

    private final BatchSettings mSettings;
    private final PrefixCache mCache;
    private final Map<String, Sequence> mRunning = new LinkedHashMap<>();
    private final Map<String, Sequence> mWaiting = new LinkedHashMap<>();
    private final Map<String, Sequence> mEnded = new LinkedHashMap<>();
    private Instant mTime;
    private Instant mFrozenUntil = Instant.MIN;

    /**
     * Creates an idle engine.
     *
     * @param start the time before the first event
     * @param changes receives each block that enters or leaves the prefix cache
     */
    EngineModel(BatchSettings settings, Instant start, Consumer<PrefixCache.Change> changes) {
        mSettings = settings;
        mTime = start;
        mCache = new PrefixCache(settings.cacheBlocks(), changes);
    }

    @Override
    public void step(Instant now, EngineEvent event, Consumer<? super EngineEffect> effects) {
        advance(now, effects);
        if (event instanceof EngineEvent.Submit e) {
            enqueue(new Sequence(e.request(), e.cutAfter()), effects);
        } else if (event instanceof EngineEvent.Cancel e) {
            cancel(e.id(), effects);
        } else if (event instanceof EngineEvent.Resume e) {
            resume(e, effects);
        } else if (event instanceof EngineEvent.Freeze e) {
            mFrozenUntil = e.until();
        } else if (event instanceof EngineEvent.DropCache) {
            mCache.clear();
        }
        admit(effects);
    }

    /** Returns the load at the time of the last event. */
    public LoadReport load() {
        int tokens = mRunning.values().stream().mapToInt(Sequence::tokens).sum();
        return new LoadReport(
                mTime.toEpochMilli(),
                mRunning.size(),
                mWaiting.size(),
                tokens,
                mCache.size(),
                mCache.capacity());
    }

    /** Returns whether any request runs or waits, so that the passing of time has effects. */
    boolean isBusy() {
        return !mRunning.isEmpty() || !mWaiting.isEmpty();
    }

    private void advance(Instant now, Consumer<? super EngineEffect> effects) {
        if (mFrozenUntil.isAfter(mTime)) {
            mTime = earlier(now, mFrozenUntil);
        }
        while (mTime.isBefore(now) && isBusy()) {
            Instant next = earlier(now, mTime.plus(MAX_STEP));
            runBatch(Duration.between(mTime, next).toNanos() / NANOS_PER_SECOND, effects);
            mTime = next;
            admit(effects);
        }
        mTime = mTime.isBefore(now) ? now : mTime;
    }

    private void runBatch(double seconds, Consumer<? super EngineEffect> effects) {
        List<Sequence> batch = List.copyOf(mRunning.values());
        List<Sequence> decoding = batch.stream().filter(Sequence::isDecoding).toList();
        double budget = mSettings.prefillTokensPerSecond() * seconds;
        for (Sequence s : batch) {
            budget = s.prefill(budget);
        }
        double tokens = mSettings.tokensPerSecondEach(decoding.size()) * seconds;
        for (Sequence s : decoding) {
            decode(s, tokens, effects);
        }
    }

    private void decode(Sequence s, double tokens, Consumer<? super EngineEffect> effects) {
        int from = s.produced();
        int to = s.decode(tokens);
        if (to > from) {
            effects.accept(new EngineEffect.Produced(s.id(), from, to));
        }
        if (s.isWhole()) {
            mRunning.remove(s.id());
            mCache.store(s.request().blocks().hashes(), s.request().blocks().hashes().length);
            end(s, effects);
        } else if (s.isCut()) {
            mRunning.remove(s.id());
            end(s, effects);
        }
    }

    /** Adds a request to the queue for the batch; returns whether there was room. */
    private boolean enqueue(Sequence s, Consumer<? super EngineEffect> effects) {
        boolean full =
                mRunning.size() >= mSettings.maxRunning()
                        && mWaiting.size() >= mSettings.maxWaiting();
        if (full) {
            effects.accept(new EngineEffect.Rejected(s.id()));
            return false;
        }
        mWaiting.put(s.id(), s);
        return true;
    }

    private void admit(Consumer<? super EngineEffect> effects) {
        while (!mWaiting.isEmpty() && mRunning.size() < mSettings.maxRunning()) {
            Sequence s = nextToAdmit(mWaiting.values());
            mWaiting.remove(s.id());
            mRunning.put(s.id(), s);
            PromptBlocks blocks = s.request().blocks();
            int cached = mCache.match(blocks.hashes(), blocks.promptBlocks());
            s.startPrefill(cached * PromptBlocks.BLOCK_TOKENS);
            mCache.store(blocks.hashes(), blocks.promptBlocks());
            effects.accept(new EngineEffect.Started(s.id(), s.cachedTokens()));
        }
    }

    private void cancel(String id, Consumer<? super EngineEffect> effects) {
        Sequence s = mRunning.remove(id);
        if (s == null) {
            s = mWaiting.remove(id);
        }
        if (s != null) {
            end(s, effects);
        }
    }

    private void end(Sequence s, Consumer<? super EngineEffect> effects) {
        effects.accept(new EngineEffect.Ended(s.id(), outcome(s), s.produced()));
        mEnded.put(s.id(), s);
        while (mEnded.size() > mSettings.maxKept()) {
            String eldest = mEnded.keySet().iterator().next();
            mEnded.remove(eldest);
            effects.accept(new EngineEffect.Forgotten(eldest));
        }
    }

    private void resume(EngineEvent.Resume e, Consumer<? super EngineEffect> effects) {
        Sequence s = find(e.id());
        if (s == null || e.offset() < 0 || e.offset() > s.produced()) {
            effects.accept(new EngineEffect.ResumeRejected(e.id()));
            return;
        }
        boolean unfinished = s.produced() < e.cutAfter() && !s.isWhole();
        boolean stopped = mEnded.containsKey(s.id());
        if (unfinished && stopped && !enqueue(s, effects)) {
            return;
        }
        s.setCutAfter(e.cutAfter());
        int to = Math.min(s.produced(), e.cutAfter());
        if (e.offset() < to) {
            effects.accept(new EngineEffect.Produced(s.id(), e.offset(), to));
        }
        if (unfinished) {
            mEnded.remove(s.id());
            return;
        }
        mRunning.remove(s.id());
        mWaiting.remove(s.id());
        end(s, effects);
    }

    private Sequence find(String id) {
        return Stream.of(mRunning, mWaiting, mEnded)
                .map(m -> m.get(id))
                .filter(Objects::nonNull)
                .findAny()
                .orElse(null);
    }

    /** Returns the request of the highest priority; among equals the one that arrived first. */
    private static Sequence nextToAdmit(Collection<Sequence> waiting) {
        return waiting.stream()
                .sorted(Comparator.comparingInt((Sequence s) -> -s.request().priority()))
                .findFirst()
                .orElseThrow();
    }

    private static Outcome outcome(Sequence s) {
        if (s.isCut()) {
            return Outcome.CUT;
        }
        return s.isWhole() ? Outcome.FINISHED : Outcome.CANCELLED;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }
}
