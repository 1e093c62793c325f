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
 * A model of an engine with continuous batching: requests enter the batch by priority, work through
 * the part of their prompt that is not cached, and then all make tokens at a rate that falls with
 * the size of the batch. It gives token counts, not texts.
 *
 * <p>A request that was cancelled keeps its progress for a while; a resume goes on from there.
 */
public final class EngineModel implements Reducer<EngineEvent, EngineEffect> {
    /** The longest span over which the rates are taken as constant. */
    private static final Duration SLICE = Duration.ofMillis(5);

    private static final double NANOS = 1e9;

    private final BatchSettings mSettings;
    private final PrefixCache mCache;
    private final Map<String, Sequence> mRunning = new LinkedHashMap<>();
    private final Map<String, Sequence> mWaiting = new LinkedHashMap<>();
    private final Map<String, Sequence> mKept = new LinkedHashMap<>();
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

    /** Returns whether time alone will change anything. */
    boolean isBusy() {
        return !mRunning.isEmpty() || !mWaiting.isEmpty();
    }

    private void advance(Instant now, Consumer<? super EngineEffect> effects) {
        if (mFrozenUntil.isAfter(mTime)) {
            mTime = earlier(now, mFrozenUntil);
        }
        while (mTime.isBefore(now) && isBusy()) {
            Instant next = earlier(now, mTime.plus(SLICE));
            work(Duration.between(mTime, next).toNanos() / NANOS, effects);
            mTime = next;
            admit(effects);
        }
        mTime = mTime.isBefore(now) ? now : mTime;
    }

    private void work(double seconds, Consumer<? super EngineEffect> effects) {
        List<Sequence> batch = List.copyOf(mRunning.values());
        List<Sequence> decoding = batch.stream().filter(Sequence::isDecoding).toList();
        double budget = mSettings.prefillTokensPerSecond() * seconds;
        for (Sequence s : batch) {
            budget = s.prefill(budget);
        }
        double tokens = mSettings.rate(decoding.size()) * seconds;
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

    /** Has a request wait for the batch; returns whether there was room. */
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
            Sequence s = first(mWaiting.values());
            mWaiting.remove(s.id());
            mRunning.put(s.id(), s);
            PromptBlocks blocks = s.request().blocks();
            int cached = mCache.match(blocks.hashes(), blocks.promptBlocks());
            s.enter(cached * PromptBlocks.BLOCK_TOKENS);
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
        mKept.put(s.id(), s);
        while (mKept.size() > mSettings.maxKept()) {
            String eldest = mKept.keySet().iterator().next();
            mKept.remove(eldest);
            effects.accept(new EngineEffect.Forgotten(eldest));
        }
    }

    private void resume(EngineEvent.Resume e, Consumer<? super EngineEffect> effects) {
        Sequence s = find(e.id());
        if (s == null || e.offset() < 0 || e.offset() > s.produced()) {
            effects.accept(new EngineEffect.NotKept(e.id()));
            return;
        }
        boolean goesOn = s.produced() < e.cutAfter() && !s.isWhole();
        boolean stopped = mKept.containsKey(s.id());
        if (goesOn && stopped && !enqueue(s, effects)) {
            return;
        }
        s.cutAfter(e.cutAfter());
        int to = Math.min(s.produced(), e.cutAfter());
        if (e.offset() < to) {
            effects.accept(new EngineEffect.Produced(s.id(), e.offset(), to));
        }
        if (goesOn) {
            mKept.remove(s.id());
            return;
        }
        mRunning.remove(s.id());
        mWaiting.remove(s.id());
        end(s, effects);
    }

    private Sequence find(String id) {
        return Stream.of(mRunning, mWaiting, mKept)
                .map(m -> m.get(id))
                .filter(Objects::nonNull)
                .findAny()
                .orElse(null);
    }

    /** Returns the first to arrive of those with the highest priority. */
    private static Sequence first(Collection<Sequence> waiting) {
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
